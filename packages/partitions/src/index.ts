export { memberSchema } from './member';
export type { Member } from './member';
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
export { PARTITION_COUNT, partitionOf } from './partitionOf';
export type {
  Heartbeat,
  PeerChannel,
  PeerError,
  TakeoverNotice,
  TakeoverReply,
  WitnessReply,
  WitnessRequest,
} from './peerChannel';
