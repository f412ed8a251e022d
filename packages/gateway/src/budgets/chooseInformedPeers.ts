import { rankInstances } from '../util/rankInstances';

/** Peers that are told of a program's start, so that it is known after the loss of some instances. */
const INFORMED_PEERS = 3;

/** Returns the peers that are told of a program's start, different ones for each program. */
export const chooseInformedPeers = (
  budgetKey: string,
  names: readonly string[],
): readonly string[] => rankInstances(budgetKey, names).slice(0, INFORMED_PEERS);
