import type { ServiceImpl } from '@connectrpc/connect';
import type { FleetService } from '@limpetnotch/peer-protocol';
import type { EscrowBudgets } from '../budgets/escrowBudgets';
import type { SharedQuotas } from '../quotas/sharedQuotas';

/** Answers the questions of other instances. */
export const createFleetService = (
  quotas: SharedQuotas,
  budgets: EscrowBudgets,
): Partial<ServiceImpl<typeof FleetService>> => ({
  takeTokens: async ({ organisation, wanted }) => ({ given: quotas.give(organisation, wanted) }),
  releaseBudget: async ({ budget }) => ({ released: await budgets.release(budget) }),
});
