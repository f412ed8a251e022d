import type { FleetTarget } from '../targets/fleetTarget';
import type { AttemptConnection } from './attempt';
import type { GiveUpReason } from './decideDispatch';

/** Target of the next dispatch, or the reason why there is none. */
export type TargetChoice =
  | {
      readonly kind: 'target';
      readonly target: FleetTarget;
      /** Targets that may get the call instead, and the chosen one. */
      readonly candidates: readonly FleetTarget[];
      /** Whether the target may have run the call before. */
      readonly isRepeat: boolean;
      readonly connection: AttemptConnection;
      readonly pauseMilliseconds: number;
    }
  | {
      readonly kind: 'none';
      readonly reason: GiveUpReason;
      readonly retryAfterSeconds?: number;
    };
