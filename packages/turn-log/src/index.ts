export { openSegmentFiles } from './openSegmentFiles';
export type { SegmentFile, SegmentFiles } from './segmentFiles';
export type { IndexedTurn } from './turnIndex';
export { TurnLog } from './turnLog';
export type { TurnLogOptions } from './turnLog';
export type { TurnLogError } from './turnLogError';
