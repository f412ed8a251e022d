export type { CacheOrderError, CacheOrderPort, CacheRelease } from './cacheRelease';
export { CacheReleaser } from './cacheReleaser';
export type { CacheReleaserOptions } from './cacheReleaser';
export { createScheduler } from './createScheduler';
export type { SchedulerOptions } from './createScheduler';
export { estimateTokens, prefixBlocks } from './prefixBlocks';
export type { PromptMessage } from './prefixBlocks';
export { countedCrashes, mergeQuarantineEntries, quarantineEntrySchema } from './quarantineEntry';
export type { QuarantineEntry } from './quarantineEntry';
export { Quarantine } from './quarantine';
export type { QuarantineListener, QuarantineStage } from './quarantine';
export type { PrefixBlock, ScheduledCall } from './scheduledCall';
export type { CacheEvent, LoadReport, ProbeTarget, Scheduler } from './scheduler';
export { schedulerSettingsSchema } from './schedulerSettings';
export type { SchedulerSettings } from './schedulerSettings';
export type { SchedulingPolicy } from './schedulingPolicy';
export type { AttemptOutcome, SchedulingRefusal, TargetGrant } from './targetGrant';
export { TargetProber } from './targetProber';
export type { ProbePort, TargetProberOptions } from './targetProber';
export { estimateEngineMilliseconds } from './carried/estimateEngineMilliseconds';
export type { EngineWork } from './carried/estimateEngineMilliseconds';
export { placeRequest } from './carried/sessionPlacement';
export type {
  Placement,
  PlacementCandidate,
  PlacementRequest,
  PlacementWork,
} from './carried/sessionPlacement';
export { admitProgramStart } from './carried/admitProgramStart';
export type { LimitedServiceLoad, ProgramStartSituation } from './carried/admitProgramStart';
export { LimitPreference } from './carried/limitPreference';
export { LimitedQueue } from './carried/limitedQueue';
export type { LimitedRequest, LimitedThroughput } from './carried/limitedQueue';
export { ReturnSchedule } from './carried/returnSchedule';
export type { ReturnSituation } from './carried/returnSchedule';
export { PrefixDirectory } from './carried/prefixDirectory';
export type { PrefixPart } from './carried/prefixDirectory';
export { filterTargetsByTrials } from './carried/filterTargetsByTrials';
export { turnPriority } from './carried/turnPriority';
export { TargetSpeeds } from './carried/targetSpeeds';
export { computeColdRate } from './eligibility/computeColdRate';
export type { ColdBounds } from './eligibility/computeColdRate';
export { computeIneligibleRetry } from './eligibility/computeIneligibleRetry';
export type { OperatorBounds } from './eligibility/computeIneligibleRetry';
export { decideEligibility } from './eligibility/decideEligibility';
export type { EligibilityCandidate, EligibilityDecision } from './eligibility/decideEligibility';
export type { EligibilityRules } from './eligibility/eligibilityRules';
export type { Ineligibility } from './eligibility/ineligibility';
export { isRegionAllowed } from './eligibility/isRegionAllowed';
export { drawZone } from './capacity/drawZone';
export type { ZoneSituation } from './capacity/drawZone';
export { interpretLoads } from './capacity/interpretLoads';
export type { InterpretedLoads, LoadedTarget } from './capacity/interpretLoads';
export { TargetCapacities } from './capacity/targetCapacities';
export type { CapacityAnswer, CapacityEstimate, CapacityKey } from './capacity/targetCapacities';
export { FullServiceQueue } from './contention/fullServiceQueue';
export type { RefusedRequest, WaitBounds } from './contention/fullServiceQueue';
export type { TargetLoadView } from './capacity/targetLoadView';
