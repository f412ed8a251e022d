export { memberSchema } from './member';
export type { Member } from './member';
export { Membership } from './membership';
export type { MembershipOptions } from './membership';
export type { Ownership } from './ownership';
export type {
  Commit,
  CommitError,
  JsonValue,
  PartitionHandler,
  PartitionJournal,
  PartitionState,
  RecoveredPartition,
  RestoreError,
} from './partitionHandler';
export { PartitionManager } from './partitionManager';
export type { PartitionManagerOptions } from './partitionManager';
export { PARTITION_COUNT, partitionOf } from './partitionOf';
export { DEFAULT_PARTITION_SETTINGS } from './partitionSettings';
export type { PartitionSettings } from './partitionSettings';
export type {
  Heartbeat,
  PeerChannel,
  PeerError,
  TakeoverNotice,
  TakeoverReply,
  WitnessReply,
  WitnessRequest,
} from './peerChannel';
