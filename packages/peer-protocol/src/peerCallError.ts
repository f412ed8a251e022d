/** Why a peer gave no answer; the message may or may not have reached it. */
export interface PeerCallError {
  readonly kind: 'unreachable';
  readonly detail: string;
}
