/**
 * @fileoverview Avro schemas of every message and of the hello frame. A message
 * kind without a schema or a missing field fails to compile. Codes and the
 * order of fields are part of the protocol: a change here must increment
 * `PROTOCOL_VERSION`.
 */

import type {ErrorKind, Message, Priority, RunState} from '@jackdawfall/core';
import type {Hello} from './types.js';

/** Version of the protocol; links with another version are refused. */
export const PROTOCOL_VERSION = 6;

/** The Avro schema of one field. */
export type FieldSchema = string | readonly string[] | {readonly type: string};

/** Schemas of all fields of a record, in the order of encoding. */
export type RecordSchema<R> = {
  readonly [Field in keyof Omit<R, 'kind'>]: FieldSchema;
};

type MessageOf<Kind> = Extract<Message, {readonly kind: Kind}>;

type FateState = MessageOf<'fate'>['state'];

/** The wire code and the fields of one message kind. */
export interface MessageSchema<Kind extends Message['kind']> {
  /** Unique byte; the code of a removed kind isn't used again. */
  readonly code: number;
  readonly fields: RecordSchema<MessageOf<Kind>>;
}

/** Wire codes of the error kinds. */
export const ERROR_CODES: Readonly<Record<ErrorKind, number>> = {
  'bad-request': 1,
  'unknown-service': 2,
  'key-missing': 3,
  'key-too-long': 4,
  'body-too-large': 5,
  'header-too-large': 6,
  'no-owner': 7,
  'no-server': 8,
  overloaded: 9,
  'deadline-exceeded': 10,
  'server-refused': 11,
  'server-lost': 12,
  'link-lost': 13,
  'lease-lost': 14,
  cancelled: 15,
  'idempotency-mismatch': 16,
  stopping: 17,
  internal: 18,
  unauthenticated: 19,
  'quota-exceeded': 20,
  'configuration-stale': 21,
  'body-timeout': 22,
  'header-timeout': 23,
};

/** Wire codes of the run states. */
export const RUN_CODES: Readonly<Record<RunState, number>> = {
  'not-run': 1,
  unknown: 2,
};

/** Wire codes of the priorities. */
export const PRIORITY_CODES: Readonly<Record<Priority, number>> = {
  interactive: 1,
  deferrable: 2,
};

/** Wire codes of the states of an attempt in a `fate` message. */
export const FATE_CODES: Readonly<Record<FateState, number>> = {
  never: 1,
  running: 2,
  kept: 3,
  forgotten: 4,
};

const COUNT = {type: 'long', logicalType: 'count'} as const;

/** Schemas of the logical types, which `logical_types.ts` implements. */
export const LOGICAL_TYPES = {
  count: COUNT,
  octets: {type: 'bytes', logicalType: 'octets'},
  compressedText: {type: 'bytes', logicalType: 'compressedText'},
  headers: {type: 'array', logicalType: 'headers', items: header()},
  entries: {type: 'array', logicalType: 'entries', items: entry()},
  names: {type: 'array', items: 'string'},
  integers: {type: 'bytes', logicalType: 'integers'},
  doubles: {type: 'bytes', logicalType: 'doubles'},
  error: {type: 'int', logicalType: 'error'},
  run: {type: 'int', logicalType: 'run'},
  priority: {type: 'int', logicalType: 'priority'},
  fate: {type: 'int', logicalType: 'fate'},
} as const;

const ATTEMPT = {attempt: 'string'} as const;

/** The schema of every message. */
export const MESSAGE_SCHEMAS: {
  readonly [Kind in Message['kind']]: MessageSchema<Kind>;
} = {
  dispatch: {
    code: 1,
    fields: {
      ...ATTEMPT,
      to: 'string',
      request: 'string',
      service: 'string',
      slice: ['null', 'int'],
      method: 'string',
      path: 'string',
      headers: LOGICAL_TYPES.headers,
      idempotent: 'boolean',
      priority: LOGICAL_TYPES.priority,
      idempotencyKey: ['null', 'string'],
      budgetMs: 'double',
      urgency: 'int',
      objectiveMs: 'double',
      costClass: 'int',
      version: LOGICAL_TYPES.count,
      body: LOGICAL_TYPES.octets,
      bodyEnds: 'boolean',
    },
  },
  body: {
    code: 2,
    fields: {...ATTEMPT, bytes: LOGICAL_TYPES.octets, ends: 'boolean'},
  },
  head: {
    code: 3,
    fields: {...ATTEMPT, status: 'int', headers: LOGICAL_TYPES.headers},
  },
  data: {code: 4, fields: {...ATTEMPT, bytes: LOGICAL_TYPES.octets}},
  end: {
    code: 5,
    fields: {
      ...ATTEMPT,
      outstanding: 'int',
      workMs: LOGICAL_TYPES.count,
      expectedMs: LOGICAL_TYPES.count,
    },
  },
  failed: {
    code: 6,
    fields: {
      ...ATTEMPT,
      error: LOGICAL_TYPES.error,
      run: LOGICAL_TYPES.run,
      detail: 'string',
      owner: ['null', 'string'],
      version: LOGICAL_TYPES.count,
      outstanding: 'int',
      workMs: LOGICAL_TYPES.count,
    },
  },
  credit: {code: 7, fields: {...ATTEMPT, bytes: LOGICAL_TYPES.count}},
  cancel: {code: 8, fields: ATTEMPT},
  inquire: {code: 9, fields: {...ATTEMPT, to: 'string'}},
  fate: {code: 10, fields: {...ATTEMPT, state: LOGICAL_TYPES.fate}},
  renew: {
    code: 11,
    fields: {
      member: 'string',
      round: LOGICAL_TYPES.count,
      row: LOGICAL_TYPES.count,
      version: LOGICAL_TYPES.count,
      configuration: LOGICAL_TYPES.count,
    },
  },
  renewed: {
    code: 12,
    fields: {
      round: LOGICAL_TYPES.count,
      granted: 'boolean',
      reason: 'string',
      version: LOGICAL_TYPES.count,
      configuration: LOGICAL_TYPES.count,
    },
  },
  close: {code: 13, fields: {member: 'string', round: LOGICAL_TYPES.count}},
  closed: {
    code: 14,
    fields: {member: 'string', round: LOGICAL_TYPES.count, closed: 'boolean'},
  },
  pull: {code: 15, fields: {after: LOGICAL_TYPES.count}},
  entries: {
    code: 16,
    fields: {entries: LOGICAL_TYPES.entries, version: LOGICAL_TYPES.count},
  },
  load: {
    code: 17,
    fields: {
      service: 'string',
      slices: LOGICAL_TYPES.integers,
      rates: LOGICAL_TYPES.doubles,
      total: 'double',
      runMs: 'double',
    },
  },
  suspect: {
    code: 18,
    fields: {member: 'string', row: LOGICAL_TYPES.count, quietMs: 'double'},
  },
  cleared: {code: 19, fields: {member: 'string'}},
  configuration: {
    code: 20,
    fields: {
      number: LOGICAL_TYPES.count,
      document: LOGICAL_TYPES.compressedText,
      zonesOut: LOGICAL_TYPES.names,
    },
  },
  propose: {code: 21, fields: {change: 'string'}},
  configurationNumber: {code: 22, fields: {number: LOGICAL_TYPES.count}},
  configurationConfirmed: {
    code: 23,
    fields: {
      number: LOGICAL_TYPES.count,
      ageMs: 'double',
      answerAgeMs: 'double',
      fault: 'string',
    },
  },
  quotaDemand: {
    code: 24,
    fields: {
      configuration: LOGICAL_TYPES.count,
      sequence: LOGICAL_TYPES.count,
      applied: LOGICAL_TYPES.count,
      partial: 'boolean',
      tenants: LOGICAL_TYPES.integers,
      admitted: LOGICAL_TYPES.integers,
      rates: LOGICAL_TYPES.integers,
    },
  },
  quotaShares: {
    code: 25,
    fields: {
      configuration: LOGICAL_TYPES.count,
      sequence: LOGICAL_TYPES.count,
      round: LOGICAL_TYPES.count,
      tenants: LOGICAL_TYPES.integers,
      permits: LOGICAL_TYPES.integers,
    },
  },
};

/** The schema of the hello frame. */
export const HELLO_SCHEMA: RecordSchema<Hello> = {
  protocol: 'int',
  workspace: 'string',
  member: 'string',
  address: 'string',
  wanted: 'string',
  losses: LOGICAL_TYPES.count,
};

/** One HTTP header. */
function header(): object {
  return {
    type: 'record',
    name: 'Header',
    logicalType: 'header',
    fields: [
      {name: 'name', type: 'string'},
      {name: 'value', type: 'string'},
    ],
  };
}

/** One entry of the replicated log. */
function entry(): object {
  return {
    type: 'record',
    name: 'LoggedEntry',
    logicalType: 'entry',
    fields: [
      {name: 'version', type: COUNT},
      {name: 'revision', type: COUNT},
      {name: 'text', type: 'string'},
    ],
  };
}
