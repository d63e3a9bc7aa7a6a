/** @fileoverview Finds the process that opened a loopback connection. */

import {readFileSync, readdirSync, readlinkSync} from 'node:fs';

/** Radix and columns of `/proc/net/tcp`. */
const HEXADECIMAL = 16;
const LOCAL_ADDRESS_COLUMN = 1;
const INODE_COLUMN = 9;

/**
 * Returns the name of the process at the other end of a connection.
 *
 * @param port - Its source port.
 * @param pids - Process ids of known processes by name.
 * @returns The name, or null if no known process has the connection open.
 */
export function findPeer(
  port: number,
  pids: Readonly<Record<string, number>>,
): string | null {
  const inode = inodeOf(port);
  if (inode === null) return null;
  for (const [name, pid] of Object.entries(pids)) {
    if (hasOpen(pid, `socket:[${inode}]`)) return name;
  }
  return null;
}

function inodeOf(port: number): string | null {
  const suffix = `:${port.toString(HEXADECIMAL).toUpperCase().padStart(4, '0')}`;
  for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n')) {
    const columns = line.trim().split(/\s+/);
    if (columns[LOCAL_ADDRESS_COLUMN]?.endsWith(suffix)) {
      return columns[INODE_COLUMN] ?? null;
    }
  }
  return null;
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
