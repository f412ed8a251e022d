import type { ChainReading, KeepError, TurnReference } from '@limpetnotch/turns';
import type { Turn } from '@limpetnotch/peer-protocol';
import type { Result } from 'neverthrow';

/** Storage of retained turns, as the gateway uses it. */
export interface TurnKeeping {
  /** Whether a turn that starts now can probably be stored. */
  readonly isAvailable: boolean;
  readChain(reference: TurnReference): Promise<ChainReading>;
  keep(turn: Turn, deadlineMilliseconds: number): Promise<Result<void, KeepError>>;
}
