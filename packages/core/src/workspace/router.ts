/**
 * @fileoverview From a request's head to its route, service and key. Routes
 * are compiled once for each configuration into a tree of path segments.
 */

import type {ErrorKind} from '../errors/types.js';
import type {KeySource, Route, Service, Workspace} from './types.js';

/** Headers as Node gives them: names in lower case. */
export type HeaderMap = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** The result of looking up a request. */
export type Match =
  | {
      readonly kind: 'matched';
      readonly route: Route;
      readonly service: Service;
      /** The decoded key, or null for a shared service. */
      readonly key: string | null;
    }
  | {
      readonly kind: Extract<
        ErrorKind,
        'bad-request' | 'unknown-service' | 'key-missing' | 'key-too-long'
      >;
      readonly detail: string;
    };

/** Compiled routes of one configuration. */
export interface Router {
  /**
   * Finds the route of a request.
   *
   * @param method - HTTP method in capitals.
   * @param path - Path as received, with query if any.
   * @param headers - Headers by name in lower case.
   * @returns The route with its key, or the kind of error.
   */
  match(method: string, path: string, headers: HeaderMap): Match;
}

interface Leaf {
  readonly route: Route;
  readonly service: Service;
  /** Where the key is found, or null for a shared service. */
  readonly key: KeySource | null;
  /** Index of the key's path segment, or -1. */
  readonly keyAt: number;
}

interface Node {
  readonly literals: Map<string, Node>;
  parameter: Node | null;
  leaf: Leaf | null;
}

/**
 * Compiles the routes of a workspace.
 *
 * @param workspace - A checked workspace.
 * @returns The router; it holds for this configuration only.
 */
export function compileRoutes(workspace: Workspace): Router {
  const roots = new Map<string, Node>();
  for (const route of workspace.routes) {
    const root = roots.get(route.method) ?? emptyNode();
    roots.set(route.method, root);
    insert(root, leafOf(workspace, route));
  }
  const {maxKeyBytes} = workspace.limits;
  return {
    match: (method, path, headers) =>
      matchIn(roots.get(method), maxKeyBytes, path, headers),
  };
}

/**
 * Finds the route of one request; for many requests compile the routes once.
 *
 * @param workspace - A checked workspace.
 * @param method - HTTP method in capitals.
 * @param path - Path as received, with query if any.
 * @param headers - Headers by name in lower case.
 * @returns The route with its key, or the kind of error.
 */
export function matchRoute(
  workspace: Workspace,
  method: string,
  path: string,
  headers: HeaderMap,
): Match {
  return compileRoutes(workspace).match(method, path, headers);
}

function emptyNode(): Node {
  return {literals: new Map(), parameter: null, leaf: null};
}

function leafOf(workspace: Workspace, route: Route): Leaf {
  const service = workspace.services.find(({name}) => name === route.service);
  if (!service) throw new Error(`unchecked workspace: ${route.service}`);
  const {division} = service;
  if (division.kind === 'shared') return {route, service, key: null, keyAt: -1};
  const keyAt = segmentsOf(route.path).indexOf(`{${division.key.name}}`);
  return {route, service, key: division.key, keyAt};
}

function insert(root: Node, leaf: Leaf): void {
  let node = root;
  for (const segment of segmentsOf(leaf.route.path)) {
    node = segment.startsWith('{')
      ? (node.parameter ??= emptyNode())
      : literalChild(node, segment);
  }
  node.leaf = leaf;
}

function literalChild(node: Node, segment: string): Node {
  const child = node.literals.get(segment) ?? emptyNode();
  node.literals.set(segment, child);
  return child;
}

function segmentsOf(path: string): string[] {
  return path.slice(1).split('/');
}

function matchIn(
  root: Node | undefined,
  maxKeyBytes: number,
  path: string,
  headers: HeaderMap,
): Match {
  if (!path.startsWith('/')) {
    return {kind: 'bad-request', detail: 'the path does not begin with /'};
  }
  const query = path.search(/[?#]/);
  const segments = segmentsOf(query < 0 ? path : path.slice(0, query));
  const leaf = root ? descend(root, segments, 0) : null;
  if (!leaf) {
    return {
      kind: 'unknown-service',
      detail: 'no route has this method and path',
    };
  }
  const {route, service, key: source} = leaf;
  if (!source) return {kind: 'matched', route, service, key: null};
  const key =
    source.from === 'path'
      ? decodeSegment(segments[leaf.keyAt])
      : headerOf(headers, source.name);
  if (key === null) {
    return {kind: 'bad-request', detail: `${source.from} key is malformed`};
  }
  if (key === '') {
    return {kind: 'key-missing', detail: `no key in ${source.from}`};
  }
  if (Buffer.byteLength(key) > maxKeyBytes) {
    return {kind: 'key-too-long', detail: `at most ${maxKeyBytes} bytes`};
  }
  return {kind: 'matched', route, service, key};
}

/** Literal segments go before parameters. */
function descend(
  node: Node,
  segments: readonly string[],
  depth: number,
): Leaf | null {
  if (depth === segments.length) return node.leaf;
  const literal = node.literals.get(segments[depth]);
  const found = literal && descend(literal, segments, depth + 1);
  if (found) return found;
  if (!node.parameter) return null;
  return descend(node.parameter, segments, depth + 1);
}

function decodeSegment(segment: string): string | null {
  if (!segment.includes('%')) return segment;
  try {
    return decodeURIComponent(segment);
  } catch {
    return null;
  }
}

function headerOf(headers: HeaderMap, name: string): string | null {
  const value = headers[name];
  if (value === undefined) return '';
  return typeof value === 'string' ? value : null;
}
