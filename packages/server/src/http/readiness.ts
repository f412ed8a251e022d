/** Whether an instance is ready, and if not, why. */
export type ReadinessState =
  | { readonly kind: 'ready' }
  | {
      readonly kind: 'not-ready';
      readonly reason: 'starting' | 'draining' | 'configuration-unconfirmed';
    };

/** Tells the load balancer whether to send calls to this instance. */
export interface Readiness {
  state(): ReadinessState;
}
