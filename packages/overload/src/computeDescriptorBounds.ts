import type { DescriptorBounds } from './descriptorBounds';

/** Files, pipes, the store's connections and idle connections to targets. */
const RESERVED_DESCRIPTORS = 40;

const CALLER_SHARE = 0.45;
const RUNNING_SHARE = 0.35;
const PEER_SHARE = 0.1;
const READINESS_SHARE = 0.05;
const METRICS_SHARE = 0.05;

/** A listener accepts at least one connection beside one that is being closed. */
const LEAST_CONNECTIONS = 2;

/** Divides the descriptors that the platform allows the process among their uses. */
export const computeDescriptorBounds = (fileDescriptors: number): DescriptorBounds => {
  const shareOf = (share: number): number =>
    Math.max(LEAST_CONNECTIONS, Math.floor((fileDescriptors - RESERVED_DESCRIPTORS) * share));
  return {
    callers: shareOf(CALLER_SHARE),
    running: shareOf(RUNNING_SHARE),
    peers: shareOf(PEER_SHARE),
    readiness: shareOf(READINESS_SHARE),
    metrics: shareOf(METRICS_SHARE),
  };
};
