import type { TokensGiven } from './quotaPeers';

/** Answer of an instance that gives nothing and doesn't know when it will. */
export const NO_TOKENS: TokensGiven = { given: 0, ahead: 0, nextMilliseconds: undefined };
