/** Kind of a call to the store, used in metrics and spans. */
export type StoreCallKind =
  | 'read'
  | 'list'
  | 'compare-and-swap'
  | 'remove'
  | 'grant-lease'
  | 'renew-lease'
  | 'revoke-lease'
  | 'watch';

/** Whether a call can change the store, so that its effect is unknown if the response is lost. */
export const isWrite = (kind: StoreCallKind): boolean => {
  switch (kind) {
    case 'read':
    case 'list':
    case 'watch':
      return false;
    case 'compare-and-swap':
    case 'remove':
    case 'grant-lease':
    case 'renew-lease':
    case 'revoke-lease':
      return true;
    default:
      return kind satisfies never;
  }
};
