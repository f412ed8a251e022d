/** Why a peer sent no reply; the message may or may not have reached it. */
export interface PeerCallError {
  readonly kind: 'unreachable';
  readonly detail: string;
}
