import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  {ignores: ['**/dist/**', '**/node_modules/**', 'target/**']},
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    extends: [...tseslint.configs.recommendedTypeChecked],
    plugins: {jsdoc},
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    settings: {jsdoc: {tagNamePreference: {file: 'fileoverview'}}},
    rules: {
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: false},
      ],
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {prefer: 'type-imports', fixStyle: 'separate-type-imports'},
      ],
      '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'interface',
          format: ['PascalCase'],
          custom: {regex: '^I[A-Z]', match: false},
        },
        {
          selector: 'variable',
          modifiers: ['const', 'global'],
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
        },
        {selector: 'function', format: ['camelCase']},
      ],
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {from: 'package', name: 'test', package: 'ava'},
          ],
        },
      ],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: {
            FunctionDeclaration: true,
            ClassDeclaration: true,
            MethodDefinition: false,
          },
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
        },
      ],
      'jsdoc/require-file-overview': [
        'error',
        {tags: {fileoverview: {mustExist: true, preventDuplicates: true}}},
      ],
      'jsdoc/check-param-names': 'error',
      curly: ['error', 'multi-line'],
      eqeqeq: ['error', 'always'],
      'no-var': 'error',
      'prefer-const': 'error',
      'max-lines': [
        'error',
        {max: 450, skipComments: true, skipBlankLines: true},
      ],
      'max-lines-per-function': [
        'error',
        {max: 60, skipComments: true, skipBlankLines: true},
      ],
    },
  },
  {
    files: ['packages/**/*.spec.ts', 'platform/**/*.spec.ts'],
    rules: {
      'max-lines-per-function': 'off',
      'jsdoc/require-jsdoc': 'off',
    },
  },
);
