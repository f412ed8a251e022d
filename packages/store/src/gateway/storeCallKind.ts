/** Kind of a call to the store, as it is counted and traced. */
export type StoreCallKind =
  | 'read'
  | 'list'
  | 'compare-and-swap'
  | 'remove'
  | 'grant-lease'
  | 'renew-lease'
  | 'revoke-lease'
  | 'watch';

/** Whether a call can change the store, so that a lost answer leaves its effect unknown. */
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
