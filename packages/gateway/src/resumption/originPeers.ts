import type { KeyedOrigin } from './keyedOrigin';
import type { StreamOrigin } from './streamOrigin';

/** Access to the other instances for the origins of streams. */
export interface OriginPeers {
  /** Names of the instances that are present. */
  readonly names: readonly string[];
  /** Records origins at an instance; one that doesn't respond in time is skipped. */
  recordOrigins(name: string, origins: readonly KeyedOrigin[]): Promise<void>;
  /** Returns the origin that one of the instances knows, from the first response that has one. */
  findOrigin(names: readonly string[], streamKey: string): Promise<StreamOrigin | undefined>;
}
