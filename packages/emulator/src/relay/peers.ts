/** @fileoverview Finds the process that opened a loopback connection. */

import {readFileSync, readdirSync, readlinkSync} from 'node:fs';

/** Radix and columns of `/proc/net/tcp`. */
const HEXADECIMAL = 16;
const LOCAL_ADDRESS_COLUMN = 1;
const REMOTE_ADDRESS_COLUMN = 2;
const INODE_COLUMN = 9;

/** The ports of a connection, as its opener has them. */
export interface ConnectionPorts {
  readonly source: number;
  readonly destination: number;
}

/**
 * Returns the name of the process at the other end of a connection.
 *
 * @param ports - Its ports.
 * @param pids - Process ids of known processes by name.
 * @returns The name, or null if no known process has the connection open.
 */
export function findPeer(
  ports: ConnectionPorts,
  pids: Readonly<Record<string, number>>,
): string | null {
  const inode = inodeOf(readFileSync('/proc/net/tcp', 'utf8'), ports);
  if (inode === null) return null;
  for (const [name, pid] of Object.entries(pids)) {
    if (hasOpen(pid, `socket:[${inode}]`)) return name;
  }
  return null;
}

/**
 * Finds the socket that opened a connection. Other connections from the same
 * source port may be listed as well, also closed ones.
 *
 * @param table - Text of `/proc/net/tcp`.
 * @param ports - Ports of the connection.
 * @returns The inode of the socket, or null if it isn't listed.
 */
export function inodeOf(table: string, ports: ConnectionPorts): string | null {
  const source = suffixOf(ports.source);
  const destination = suffixOf(ports.destination);
  for (const line of table.split('\n')) {
    const columns = line.trim().split(/\s+/);
    if (columns[LOCAL_ADDRESS_COLUMN]?.endsWith(source) !== true) continue;
    if (columns[REMOTE_ADDRESS_COLUMN]?.endsWith(destination) !== true) {
      continue;
    }
    return columns[INODE_COLUMN] ?? null;
  }
  return null;
}

function suffixOf(port: number): string {
  return `:${port.toString(HEXADECIMAL).toUpperCase().padStart(4, '0')}`;
}

function hasOpen(pid: number, link: string): boolean {
  try {
    const folder = `/proc/${pid}/fd`;
    return readdirSync(folder).some(fd => linkOf(`${folder}/${fd}`) === link);
  } catch {
    return false;
  }
}

function linkOf(path: string): string {
  try {
    return readlinkSync(path);
  } catch {
    return '';
  }
}
