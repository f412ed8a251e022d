/** Why an instance is not ready, or that it is. */
export type ReadinessState =
  | { readonly kind: 'ready' }
  | {
      readonly kind: 'not-ready';
      readonly reason: 'starting' | 'draining' | 'configuration-unconfirmed';
    };

/** Tells the balancer whether to send calls here. */
export interface Readiness {
  state(): ReadinessState;
}
