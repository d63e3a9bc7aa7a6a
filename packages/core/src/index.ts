/** @fileoverview Public API of the core package. */

export {timeLeftMs} from './clock/logic.js';
export type * from './clock/types.js';
export {acceptsApiKeys, configurationFaultOf} from './configuration/view.js';
export type * from './daemon/types.js';
export {reduceDaemon} from './daemon/logic.js';
export type * from './costs/types.js';
export {NO_COST_CLASS, costClassOf} from './costs/classes.js';
export {createDaemon} from './daemon/state.js';
export {renderDaemon} from './daemon/view.js';
export type * from './errors/types.js';
export {ERROR_RESPONSES, failure} from './errors/logic.js';
export {EXECUTION} from './execution/definition.js';
export {createExecutionState, workViewOf} from './execution/state.js';
export {reportedWorkMs, workReportOf} from './execution/work.js';
export type {ExecutionState} from './execution/types.js';
export {renderErrorPage} from './errors/view.js';
export type * from './ids/types.js';
export {
  NO_VERSION,
  makeAttemptId,
  compareIds,
  hostOf,
  makeMemberId,
  originOf,
  sequenceOf,
} from './ids/logic.js';
export {hashKey, sliceByHash, sliceByNumber} from './keys/logic.js';
export type * from './log_events/catalogue.js';
export {LOG_EVENTS} from './log_events/catalogue.js';
export {renderLogPage} from './log_events/view.js';
export type * from './loop/subsystem.js';
export type * from './loop/types.js';
export type * from './messages/types.js';
export type {LeaseSource, CurrentLease} from './leases/types.js';
export {currentLease, latestLeaseEnd} from './leases/logic.js';
export {MAX_CALLS_UNDER_WAY} from './grants/calls.js';
export {grantFiguresOf} from './grants/view.js';
export type {GrantFigures} from './grants/view.js';
export type * from './log/types.js';
export {applyEntry} from './map/logic.js';
export {createMap} from './map/state.js';
export type {ClusterMap} from './map/types.js';
export {nextPlacement} from './coordinator/logic.js';
export {buildRing} from './membership/ring.js';
export {serializeMap, parseMap} from './snapshots/logic.js';
export {OWNERSHIP} from './ownership/definition.js';
export type {OwnershipDependencies} from './ownership/definition.js';
export type {
  OwnershipState,
  OwnershipSettings,
  Rule,
} from './ownership/state.js';
export {createOwnershipState} from './ownership/state.js';
export {createOwnershipView} from './ownership/view.js';
export type * from './outcomes/types.js';
export {stageOfReport, classifyFailure} from './outcomes/logic.js';
export type * from './ownership/types.js';
export type * from './quotas/types.js';
export {quotaFiguresOf} from './quotas/view.js';
export type {QuotaFigures} from './quotas/view.js';
export {ROUTING} from './routing/definition.js';
export {createRoutingState} from './routing/state.js';
export type {RoutingState} from './routing/types.js';
export type * from './settings/defaults.js';
export {DEFAULT_TUNING} from './settings/defaults.js';
export type {ConfigurationNumber} from './restore/era.js';
export {
  NO_ERA,
  makeConfigurationNumber,
  parseConfigurationNumber,
  parseEra,
} from './restore/era.js';
export type * from './store/types.js';
export {MAX_TRANSACTION_ENTRIES} from './store/types.js';
export type * from './workspace/types.js';
export type * from './memory/types.js';
export {
  MemoryBudget,
  memoryLimitsOf,
  selectBodyToRefuse,
} from './memory/logic.js';
export type * from './tenants/types.js';
export {createTenantDirectory, digestOfApiKey} from './tenants/logic.js';
export type * from './commands/types.js';
export type * from './validation/types.js';
export {
  formatFaults,
  parseDocument,
  validateValue,
} from './validation/logic.js';
export type {ParsedWorkspace} from './workspace/schema.js';
export {MAX_SLICES, parseWorkspace} from './workspace/schema.js';
export {checkWorkspaceChange} from './workspace/changes.js';
export type {WorkspaceDifference} from './workspace/differences.js';
export {compareWorkspaces} from './workspace/differences.js';
export type {WorkspaceFinding} from './workspace/findings.js';
export {findIneffectiveEntries} from './workspace/findings.js';
export type {HeaderMap, RouteMatch, Router} from './workspace/router.js';
export {compileRoutes, matchRoute} from './workspace/router.js';
export type * from './templates/types.js';
export {expandTemplate, parseTemplate} from './templates/logic.js';
export {checkLeaseTimes} from './settings/lease_times.js';
export {pollHoldMs, sourceTimesOf} from './settings/source_times.js';
export type {SourceTimes} from './settings/source_times.js';
export type {PartialTuning} from './settings/logic.js';
export {LOG_LEVELS, mergeTuning, tuningSchema} from './settings/logic.js';
