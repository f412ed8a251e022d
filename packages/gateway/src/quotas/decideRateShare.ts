import { hash32 } from '../util/hash32';
import { chooseRateHolders } from './chooseRateHolders';
import type { RateLayout } from './rateLayout';
import type { RateShare } from './rateShare';

const NO_SHARE: RateShare = { rank: 0, holders: 0, chosenHolders: undefined };

/**
 * Decides which part of an organisation's rate this instance holds. Load pattern: organisations of
 * small rates at many instances, where equal parts are less than one token.
 */
export const decideRateShare = (layout: RateLayout, organisation: string): RateShare => {
  switch (layout.kind) {
    case 'none':
      return NO_SHARE;
    case 'equal-parts': {
      const holders = layout.members.length;
      // The rank varies, so that single tokens are spread evenly.
      const rank = (layout.rank + hash32(organisation)) % holders;
      return { rank, holders, chosenHolders: undefined };
    }
    case 'holders': {
      const { instance, members, stage } = layout;
      const chosenHolders = chooseRateHolders(organisation, members);
      const rank = chosenHolders.indexOf(instance);
      if (rank === -1 || stage === 'waiting') return { ...NO_SHARE, chosenHolders };
      const holders = stage === 'settling' ? members.length : chosenHolders.length;
      return { rank, holders, chosenHolders };
    }
  }
};
