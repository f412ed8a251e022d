import type { RequestListener } from 'node:http';
import type { ServiceImpl } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import {
  FleetService,
  LendBudgetResponse_Outcome as LendOutcome,
  quarantineEntryOf,
} from '@limpetnotch/peer-protocol';
import type { EscrowBudgets } from '../budgets/escrowBudgets';
import type { QuarantineSharing } from '../quarantine/quarantineSharing';
import type { SharedQuotas } from '../quotas/sharedQuotas';

/** Handlers of the calls of other instances. */
export interface FleetListenerParts {
  readonly quotas: SharedQuotas;
  readonly budgets: EscrowBudgets;
  readonly quarantine: QuarantineSharing;
}

const createFleetService = ({
  quotas,
  budgets,
  quarantine,
}: FleetListenerParts): Partial<ServiceImpl<typeof FleetService>> => ({
  takeTokens: async ({ organisation, wanted }) => ({
    given: quotas.transferTokens(organisation, wanted),
  }),
  describeDemand: async ({ organisation, program }) => quotas.describeDemand(organisation, program),
  lendBudget: async (request) => {
    const loan = await budgets.lend(request);
    switch (loan.kind) {
      case 'lent':
        return { outcome: LendOutcome.LENT, tokens: loan.tokens };
      case 'spent':
        return { outcome: LendOutcome.SPENT };
      case 'none':
        return {
          outcome: LendOutcome.UNAVAILABLE,
          isKnown: loan.isKnown,
          isMemoryWhole: loan.isMemoryWhole,
          canUseStore: loan.canUseStore,
        };
    }
  },
  announcePrograms: async ({ budgets: keys }) => {
    keys.forEach((key) => budgets.recordProgramStart(key));
    return {};
  },
  shareQuarantine: async ({ entries }) => {
    quarantine.receive(entries.map(quarantineEntryOf));
    return {};
  },
  releaseBudget: async ({ budget }) => {
    await budgets.release(budget);
    return {};
  },
});

/** Creates the listener for the calls of other instances over the Connect protocol. */
export const createFleetListener = (parts: FleetListenerParts): RequestListener =>
  connectNodeAdapter({
    routes: (router) => router.service(FleetService, createFleetService(parts)),
    acceptCompression: [],
  });
