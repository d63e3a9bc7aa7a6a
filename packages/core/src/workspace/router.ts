/**
 * @fileoverview Matches requests to their route, service and key. Routes are
 * compiled once for each configuration into trees of path segments.
 */

import type {ErrorKind} from '../errors/types.js';
import type {Slice} from '../ids/types.js';
import {sliceByHash, sliceByNumber} from '../keys/logic.js';
import type {
  KeySource,
  Route,
  Service,
  WeightedService,
  Workspace,
} from './types.js';

/** Headers as Node.js provides them: names in lower case. */
export type HeaderMap = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** The result of matching a request against the routes. */
export type RouteMatch =
  | {
      readonly kind: 'matched';
      readonly route: Route;
      readonly service: Service;
      /** The decoded key, or null for a shared service. */
      readonly key: string | null;
      /** Slice of the key, or null for a shared service. */
      readonly slice: Slice | null;
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
   * Matches a request to its route.
   *
   * @param method - HTTP method in capitals.
   * @param path - Path as received, with query if any.
   * @param headers - Headers by name in lower case.
   * @returns The route with its key, or the kind of error.
   */
  match(method: string, path: string, headers: HeaderMap): RouteMatch;
}

/** A service that a route sends requests to. */
interface RouteTarget {
  readonly service: Service;
  /** Where the request carries its key, or null for a shared service. */
  readonly key: KeySource | null;
  /** Index of the key's path segment; -1 if the path holds no key. */
  readonly keySegment: number;
  readonly weight: number;
  /** State of the weighted round robin; the highest is chosen next. */
  currentWeight: number;
}

/** A route with the services it sends requests to. */
interface Leaf {
  readonly route: Route;
  readonly targets: readonly RouteTarget[];
}

/** A node in the tree of path segments; it stands for a path prefix. */
interface Node {
  /** Children by the literal segment that leads to them. */
  readonly literals: Map<string, Node>;
  /** Child for a segment that is a parameter. */
  parameter: Node | null;
  /** Route whose path ends here. */
  leaf: Leaf | null;
  /** Route for longer paths (`**`) that no deeper node matches. */
  restLeaf: Leaf | null;
}

/** Stands for any method, and in the name of a root also for any host. */
const WILDCARD = '*';
const REST_WILDCARD = '**';

/**
 * Compiles the routes of a workspace.
 *
 * @param workspace - A validated workspace.
 * @returns The router of this configuration.
 */
export function compileRoutes(workspace: Workspace): Router {
  const roots = new Map<string, Node>();
  for (const route of workspace.routes) {
    const name = rootName(route.host, route.method);
    const root = roots.get(name) ?? emptyNode();
    roots.set(name, root);
    insert(root, leafOf(workspace, route));
  }
  const {maxKeyBytes} = workspace.limits;
  return {
    match: (method, path, headers) =>
      matchPath(rootsFor(roots, method, headers), maxKeyBytes, path, headers),
  };
}

/**
 * Matches a single request to its route. For more, use `compileRoutes` once.
 *
 * @param workspace - A validated workspace.
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
): RouteMatch {
  return compileRoutes(workspace).match(method, path, headers);
}

/** Each pair of method and host has a tree of its own. */
function rootName(host: string | null, method: string): string {
  return `${method} ${host?.toLowerCase() ?? WILDCARD}`;
}

/** Routes with the request's host take precedence over those for any host. */
function rootsFor(
  roots: ReadonlyMap<string, Node>,
  method: string,
  headers: HeaderMap,
): Node[] {
  const host = headerOf(headers, 'host') ?? '';
  const found: Node[] = [];
  for (const name of [host, null]) {
    for (const each of [method, WILDCARD]) {
      const root = roots.get(rootName(name, each));
      if (root !== undefined) found.push(root);
    }
  }
  return found;
}

function emptyNode(): Node {
  return {literals: new Map(), parameter: null, leaf: null, restLeaf: null};
}

function leafOf(workspace: Workspace, route: Route): Leaf {
  const {split, service} = route;
  const shares = split.length > 0 ? split : [{service, weight: 1}];
  return {route, targets: shares.map(each => targetOf(workspace, route, each))};
}

function targetOf(
  workspace: Workspace,
  route: Route,
  share: WeightedService,
): RouteTarget {
  const service = workspace.services.find(({name}) => name === share.service);
  if (!service) throw new Error(`workspace has no service ${share.service}`);
  const {division} = service;
  const common = {service, weight: share.weight, currentWeight: 0};
  if (division.kind === 'shared') return {...common, key: null, keySegment: -1};
  const keySegment = segmentsOf(route.path).indexOf(`{${division.key.name}}`);
  return {...common, key: division.key, keySegment};
}

/** Smooth weighted round robin, which keeps every share without drift. */
function chooseTarget(targets: readonly RouteTarget[]): RouteTarget {
  if (targets.length === 1) return targets[0];
  let total = 0;
  let best = targets[0];
  for (const target of targets) {
    target.currentWeight += target.weight;
    total += target.weight;
    if (target.currentWeight > best.currentWeight) best = target;
  }
  best.currentWeight -= total;
  return best;
}

function insert(root: Node, leaf: Leaf): void {
  let node = root;
  for (const segment of segmentsOf(leaf.route.path)) {
    if (segment === REST_WILDCARD) {
      node.restLeaf = leaf;
      return;
    }
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

function matchPath(
  roots: readonly Node[],
  maxKeyBytes: number,
  path: string,
  headers: HeaderMap,
): RouteMatch {
  if (!path.startsWith('/')) {
    return {kind: 'bad-request', detail: 'the path does not begin with /'};
  }
  const query = path.search(/[?#]/);
  const segments = segmentsOf(query < 0 ? path : path.slice(0, query));
  let leaf: Leaf | null = null;
  for (const root of roots) leaf ??= findLeaf(root, segments, 0);
  if (leaf === null) {
    return {
      kind: 'unknown-service',
      detail: 'no route has this host, method and path',
    };
  }
  const {route} = leaf;
  const {service, key: source, keySegment} = chooseTarget(leaf.targets);
  if (!source) return {kind: 'matched', route, service, key: null, slice: null};
  const key =
    source.from === 'path'
      ? decodeSegment(segments[keySegment])
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
  const slice = sliceOfKey(service, key);
  if (slice !== null) return {kind: 'matched', route, service, key, slice};
  return {kind: 'bad-request', detail: `${source.from} key is out of range`};
}

/** Returns null for a numeric key that is out of range. */
function sliceOfKey({division}: Service, key: string): Slice | null {
  if (division.kind === 'shared') return null;
  const {slices} = division;
  const keys = division.keys ?? null;
  return keys === null
    ? sliceByHash(key, slices)
    : sliceByNumber(key, keys, slices);
}

/** Literal segments take precedence over parameters, and both over `**`. */
function findLeaf(
  node: Node,
  segments: readonly string[],
  depth: number,
): Leaf | null {
  if (depth === segments.length) return node.leaf;
  const literal = node.literals.get(segments[depth]);
  const byLiteral = literal && findLeaf(literal, segments, depth + 1);
  if (byLiteral) return byLiteral;
  const byParameter =
    node.parameter && findLeaf(node.parameter, segments, depth + 1);
  return byParameter ?? node.restLeaf;
}

/** Returns null if the segment isn't valid percent-encoded UTF-8. */
function decodeSegment(segment: string): string | null {
  if (!segment.includes('%')) return segment;
  try {
    return decodeURIComponent(segment);
  } catch {
    return null;
  }
}

/** Returns an empty text for a missing header, null for a repeated one. */
function headerOf(headers: HeaderMap, name: string): string | null {
  const value = headers[name];
  if (value === undefined) return '';
  return typeof value === 'string' ? value : null;
}
