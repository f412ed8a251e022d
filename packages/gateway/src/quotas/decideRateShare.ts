import { hash32 } from '../util/hash32';
import { chooseRateHolders } from './chooseRateHolders';
import type { RateLayout } from './rateLayout';
import type { RateShare } from './rateShare';

const NO_SHARE: RateShare = { rank: 0, holders: 0 };

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
      return { rank: (layout.rank + hash32(organisation)) % holders, holders };
    }
    case 'holders': {
      const { instance, members, stage } = layout;
      const holders = chooseRateHolders(organisation, members);
      const rank = holders.indexOf(instance);
      if (rank === -1 || stage === 'waiting') return NO_SHARE;
      return { rank, holders: stage === 'settling' ? members.length : holders.length };
    }
  }
};
