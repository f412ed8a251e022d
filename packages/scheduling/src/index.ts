export { estimateTokens, prefixBlocks } from './prefixBlocks';
export type { PromptMessage } from './prefixBlocks';
export type { PrefixBlock, ScheduledCall } from './scheduledCall';
export type { CacheEvent, LoadReport, Scheduler } from './scheduler';
export type { AttemptOutcome, SchedulingRefusal, TargetGrant } from './targetGrant';
