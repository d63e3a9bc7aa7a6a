/** @fileoverview Tests of workspace validation, changes and routing rules. */

import test from 'ava';

import type {ValidationFault} from '../validation/types.js';
import {checkWorkspaceChange} from './changes.js';
import {matchRoute} from './router.js';
import {parseWorkspace} from './schema.js';
import type {Workspace} from './types.js';

/** A part of the document's text and its replacement. */
type Edit = readonly [from: string, to: string];

const TEXT = JSON.stringify({
  name: 'taipei',
  version: 1,
  zones: ['a', 'b'],
  services: [
    {
      name: 'finder',
      division: {kind: 'keyed', slices: 8, key: {from: 'path', name: 'key'}},
      upstreams: 4,
    },
    {
      name: 'tagged',
      division: {
        kind: 'keyed',
        slices: 9,
        key: {from: 'header', name: 'x-key'},
      },
      upstreams: 1,
    },
    {name: 'records', division: {kind: 'shared'}, upstreams: 2},
  ],
  routes: [
    route('GET', '/finder/{key}', 'finder'),
    route('GET', '/finder/{key}/near', 'finder'),
    route('GET', '/finder/all/{key}', 'finder'),
    route('POST', '/tagged', 'tagged'),
    route('GET', '/records/{year}', 'records'),
  ],
  limits: {
    maxBodyBytes: 1024,
    maxKeyBytes: 8,
    retryShare: 0.1,
    maxMovingSlices: 4,
    drainMs: 500,
  },
});

function route(method: string, path: string, service: string): object {
  return {
    method,
    path,
    service,
    idempotent: method === 'GET',
    priority: 'interactive',
    timeoutMs: 1000,
  };
}

function finderRenamed(): string {
  const rest = TEXT.slice(TEXT.indexOf('finder'));
  return rest.replaceAll('"finder"', '"seeker"').replace('finder"', 'seeker"');
}

function textWith([from, to]: Edit): string {
  if (!TEXT.includes(from)) throw new Error(`no ${from}`);
  return TEXT.replace(from, to);
}

function workspaceWith(edit: Edit): Workspace {
  const parsed = parseWorkspace(textWith(edit));
  if (parsed.kind === 'ok') return parsed.workspace;
  throw new Error(JSON.stringify(parsed.faults));
}

const INVALID: ReadonlyArray<{what: string; path: string; edit: Edit}> = [
  {what: 'no name', path: 'name', edit: ['"name":"taipei",', '']},
  {what: 'capitals in a name', path: 'name', edit: ['taipei', 'Taipei']},
  {what: 'unknown key', path: '', edit: ['{', '{"colour":"red",']},
  {what: 'repeated zone', path: 'zones.1', edit: ['["a","b"', '["a","a"']},
  {
    what: 'repeated service',
    path: 'services.1',
    edit: [
      '"services":[',
      '"services":[{"name":"finder","division":{"kind":"shared"},"upstreams":1},',
    ],
  },
  {
    what: 'no slices',
    path: 'services.0.division.slices',
    edit: ['"slices":8', '"slices":0'],
  },
  {
    what: 'too many slices',
    path: 'services.0.division.slices',
    edit: ['"slices":8', '"slices":131073'],
  },
  {
    what: 'unknown service',
    path: 'routes.4.service',
    edit: ['"service":"records"', '"service":"dispatch"'],
  },
  {
    what: 'keyed route without its key',
    path: 'routes.0.path',
    edit: ['/finder/{key}"', '/finder"'],
  },
  {
    what: 'repeated route with another parameter name',
    path: 'routes.2',
    edit: ['/finder/all/{key}"', '/finder/{key}"'],
  },
  {
    what: 'method in lower case',
    path: 'routes.3.method',
    edit: ['"POST"', '"post"'],
  },
  {
    what: 'share above one',
    path: 'limits.retryShare',
    edit: ['0.1', '1.5'],
  },
];

for (const {what, path, edit} of INVALID) {
  test(`invalid document: ${what}`, t => {
    const parsed = parseWorkspace(textWith(edit));
    if (parsed.kind === 'ok') return t.fail('accepted');
    t.deepEqual(
      parsed.faults.map(fault => fault.path),
      [path],
    );
  });
}

test('invalid document: malformed JSON', t => {
  const parsed = parseWorkspace('{');
  t.is(parsed.kind, 'invalid');
});

const CHANGES: ReadonlyArray<{
  what: string;
  edit: Edit;
  faults: readonly ValidationFault[];
}> = [
  {what: 'nothing', edit: ['a', 'a'], faults: []},
  {what: 'a limit', edit: ['500', '1'], faults: []},
  {
    what: 'the name of a service, which removes one and adds another',
    edit: [TEXT.slice(TEXT.indexOf('finder')), finderRenamed()],
    faults: [],
  },
  {
    what: 'the name',
    edit: ['taipei', 'windhoek'],
    faults: [{path: 'name', message: 'must stay "taipei"'}],
  },
  {
    what: 'the number of slices',
    edit: ['"slices":8', '"slices":16'],
    faults: [{path: 'services.0.division.slices', message: 'must stay 8'}],
  },
  {
    what: 'the kind of division',
    edit: [
      '{"kind":"keyed","slices":8,"key":{"from":"path","name":"key"}}',
      '{"kind":"shared"}',
    ],
    faults: [{path: 'services.0.division.kind', message: 'must stay "keyed"'}],
  },
];

for (const {what, edit, faults} of CHANGES) {
  test(`a change of ${what} has ${faults.length} faults`, t => {
    const before = workspaceWith(['a', 'a']);
    t.deepEqual(checkWorkspaceChange(before, workspaceWith(edit)), faults);
  });
}

const MATCHES: ReadonlyArray<{
  request: string;
  headers?: Record<string, string | string[]>;
  /** Path of the route and its key, or the kind of error. */
  expected: readonly [string, string | null] | string;
}> = [
  {request: 'GET /finder/k1', expected: ['/finder/{key}', 'k1']},
  {request: 'GET /finder/k1?x=/y', expected: ['/finder/{key}', 'k1']},
  {request: 'GET /finder/a%2Fb', expected: ['/finder/{key}', 'a/b']},
  {request: 'GET /finder/k1/near', expected: ['/finder/{key}/near', 'k1']},
  {request: 'GET /finder/all/k1', expected: ['/finder/all/{key}', 'k1']},
  {request: 'GET /finder/all', expected: ['/finder/{key}', 'all']},
  {request: 'GET /finder/all/near', expected: ['/finder/all/{key}', 'near']},
  {request: 'GET /finder/', expected: 'key-missing'},
  {request: 'GET /finder', expected: 'unknown-service'},
  {request: 'PUT /finder/k1', expected: 'unknown-service'},
  {request: 'GET /', expected: 'unknown-service'},
  {request: 'GET finder', expected: 'bad-request'},
  {request: 'GET /finder/%zz', expected: 'bad-request'},
  {request: 'GET /finder/12345678', expected: ['/finder/{key}', '12345678']},
  {request: 'GET /finder/123456789', expected: 'key-too-long'},
  {request: 'GET /finder/%C3%B1%C3%B1%C3%B1%C3%B1a', expected: 'key-too-long'},
  {request: 'GET /records/1999', expected: ['/records/{year}', null]},
  {
    request: 'POST /tagged',
    headers: {'x-key': 'k2'},
    expected: ['/tagged', 'k2'],
  },
  {request: 'POST /tagged', expected: 'key-missing'},
  {
    request: 'POST /tagged',
    headers: {'x-key': ['a', 'b']},
    expected: 'bad-request',
  },
];

for (const {request, headers = {}, expected} of MATCHES) {
  const note = JSON.stringify(headers);
  test(`${request} ${note} matches ${String(expected)}`, t => {
    const [method, path] = request.split(' ');
    const workspace = workspaceWith(['a', 'a']);
    const match = matchRoute(workspace, method, path, headers);
    const seen =
      match.kind === 'matched' ? [match.route.path, match.key] : match.kind;
    t.deepEqual(seen, expected);
  });
}
