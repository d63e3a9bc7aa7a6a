/** @fileoverview Rendering of the status as text. */

import type {MemberStatus, Status} from '@jackdawfall/core';
import {compareIds} from '@jackdawfall/core';

import {renderPairs, renderTable} from '../output/view.js';

/**
 * Renders the status of a workspace as one daemon has it.
 *
 * @param status - The status.
 * @returns Names and values, a table of members and one of services.
 */
export function renderStatus(status: Status): string {
  const {lease} = status;
  const grantors = lease.grantors.join(', ') || 'no grantor';
  const pairs = renderPairs([
    ['workspace', status.workspace],
    ['asked daemon', status.member ?? 'not a member yet'],
    ['its zone', status.zone],
    ['its phase', status.phase],
    ['its lease', `${lease.held ? 'held' : 'NOT HELD'} (${grantors})`],
    ['log version', status.version],
    ['configuration', status.configuration],
    ['coordinator', status.coordinator ?? 'none'],
    ['platform', status.storeReachable ? 'reachable' : 'NOT REACHABLE'],
    ['zones out', status.zonesOut.join(', ') || 'none'],
  ]);
  const members = renderTable(
    ['MEMBER', 'ZONE', 'SERVICE', 'SLOTS', 'OWNED', 'STANDBY', 'STATE'],
    [...status.members]
      .sort(byZoneAndName)
      .map(member => memberRow(member, status)),
  );
  const services = renderTable(
    ['SERVICE', 'SLICES', 'UNOWNED', 'NO STANDBY', 'MOVING'],
    status.services.map(each => [
      each.service,
      each.slices,
      each.unowned,
      each.withoutStandby,
      each.moving,
    ]),
  );
  return [pairs, members, services].join('\n\n');
}

function byZoneAndName(a: MemberStatus, b: MemberStatus): number {
  return compareIds(a.zone, b.zone) || compareIds(a.member, b.member);
}

function memberRow(member: MemberStatus, status: Status): string[] {
  const {server} = member;
  return [
    member.member,
    member.zone,
    server?.service ?? '-',
    String(server?.slots ?? '-'),
    String(member.owned),
    String(member.standby),
    stateOf(member, status),
  ];
}

function stateOf(member: MemberStatus, status: Status): string {
  const states: string[] = [];
  if (status.zonesOut.includes(member.zone)) states.push('zone out');
  if (member.draining) states.push('draining');
  if (member.server?.leaving) states.push('leaving');
  if (!member.server) states.push('no server');
  return states.join(', ') || 'takes work';
}
