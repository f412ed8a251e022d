import type { CallEnvelope } from '../calls/callEnvelope';
import type { FleetTarget } from '../targets/fleetTarget';

/** A target as other instances identify it; each instance uses the address it knows. */
export type ForwardedTarget = Pick<FleetTarget, 'id' | 'service' | 'bornMilliseconds' | 'version'>;

/** A request that another instance sends to a target. */
export interface ForwardedRequest {
  readonly target: ForwardedTarget;
  readonly envelope: Pick<
    CallEnvelope,
    'id' | 'method' | 'pathAndQuery' | 'passedHeaders' | 'lastEventId'
  >;
  readonly body: Buffer;
  /** Time until the deadline of the response at the moment of sending. */
  readonly remainingMilliseconds: number;
  readonly organisation: string | undefined;
  readonly priority: number | undefined;
  /** Whether the target may have received the request before. */
  readonly isRepeat: boolean;
}
