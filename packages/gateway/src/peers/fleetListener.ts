import type { RequestListener } from 'node:http';
import type { ServiceImpl } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type { SharedObservation } from '@limpetnotch/observation';
import {
  createServerStreamListener,
  createUnaryListener,
  FleetService,
  LendBudgetResponse_Outcome as LendOutcome,
  quarantineEntryOf,
} from '@limpetnotch/peer-protocol';
import type { ExchangeForwarder } from '../forwarding/exchangeForwarder';
import type { PathChecker } from '../forwarding/pathChecker';
import type { FleetState } from '../fleet/fleetState';
import type { EscrowBudgets } from '../budgets/escrowBudgets';
import type { LimitGate } from '../limits/limitGate';
import type { LimitSharing } from '../limits/limitSharing';
import type { QuarantineSharing } from '../quarantine/quarantineSharing';
import type { SharedQuotas } from '../quotas/sharedQuotas';
import type { OriginSharing } from '../resumption/originSharing';
import { findKnownTarget } from '../forwarding/findKnownTarget';
import {
  fromForwardedRequestMessage,
  fromTargetMessage,
  toCheckResult,
  toPartMessage,
} from './forwardingMessage';
import { fromLimitMessage, toLimitMessage } from './limitMessage';
import { relayStore } from './relayStore';
import { fromOriginMessage, toOriginMessage } from './originMessage';
import { fromAdmissionRequestMessage, toAdmissionMessage, toTokensMessage } from './quotaMessage';

/** Handlers of the calls of other instances. */
export interface FleetListenerParts {
  readonly quotas: SharedQuotas;
  readonly budgets: EscrowBudgets;
  readonly quarantine: QuarantineSharing;
  readonly limitGate: LimitGate;
  readonly limitSharing: LimitSharing;
  readonly origins: OriginSharing;
  readonly fleet: FleetState;
  readonly pathChecker: PathChecker;
  readonly forwarder: ExchangeForwarder;
  readonly observation: Pick<SharedObservation, 'relay'>;
}

const createFleetService = ({
  quotas,
  budgets,
  quarantine,
  limitGate,
  limitSharing,
  origins: originSharing,
  fleet,
  pathChecker,
  forwarder,
}: FleetListenerParts): Partial<ServiceImpl<typeof FleetService>> => ({
  takeTokens: async ({ organisation, ...wanted }) =>
    toTokensMessage(quotas.transferTokens(organisation, wanted)),
  admitProgram: async (request) =>
    toAdmissionMessage(await quotas.decideProgram(fromAdmissionRequestMessage(request))),
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
          isPromised: loan.isPromised,
        };
    }
  },
  listPromises: async () => {
    const { promises, isComplete, canUseStore, memberLists } = budgets.promises;
    return {
      budgets: promises.map(({ budgetKey }) => budgetKey),
      processes: promises.map(({ process }) => process),
      isMemoryWhole: isComplete,
      hasLostStore: !canUseStore,
      formerLists: memberLists.map((members) => ({ members: [...members] })),
    };
  },
  announcePrograms: async ({ budgets: keys }) => {
    keys.forEach((key) => budgets.recordProgramStart(key));
    return {};
  },
  shareQuarantine: async ({ entries }) => {
    quarantine.receive(entries.map(quarantineEntryOf));
    return {};
  },
  takeTargetTokens: async ({ limit, membersRevision, ...request }) => {
    if (!limit) throw new ConnectError('the limit is missing', Code.InvalidArgument);
    const { incarnationKey, state } = fromLimitMessage(limit);
    const reply = limitGate.handleTokenRequest({
      ...request,
      incarnationKey,
      state,
      membersRevision: Number(membersRevision),
    });
    const known = reply.state && toLimitMessage({ incarnationKey, state: reply.state });
    return {
      given: reply.given,
      remaining: reply.remaining,
      nextMilliseconds: reply.nextMilliseconds,
      isHolder: reply.isHolder,
      membersRevision: BigInt(reply.membersRevision),
      ...(known && { limit: known }),
    };
  },
  announceLimits: async ({ limits }) => {
    limitSharing.receive(limits.map(fromLimitMessage));
    return {};
  },
  listLimits: async () => ({ limits: limitSharing.list().map(toLimitMessage) }),
  recordOrigins: async ({ origins }) => {
    originSharing.receive(origins.map(fromOriginMessage));
    return {};
  },
  findOrigin: async ({ streamKey }) => {
    const origin = originSharing.findLocal(streamKey);
    return origin ? { origin: toOriginMessage({ streamKey, origin }) } : {};
  },
  checkTarget: async ({ target: message }) => {
    const named = message && fromTargetMessage(message);
    const known = findKnownTarget(fleet.targets, named);
    return { result: toCheckResult(known ? await pathChecker.answer(known) : 'unknown') };
  },
  async *forwardExchange(message, { signal }) {
    const request = fromForwardedRequestMessage(message);
    if (!request) throw new ConnectError('the target is missing', Code.InvalidArgument);
    for await (const part of forwarder.forward(request, signal)) yield toPartMessage(part);
  },
  releaseBudget: async ({ budget }) => {
    const { sharers, hasAllSharers } = await budgets.release(budget);
    return { sharers: [...sharers], hasAllSharers };
  },
});

/** Creates the listener for the calls of other instances over the Connect protocol. */
export const createFleetListener = (parts: FleetListenerParts): RequestListener => {
  const implementation = createFleetService(parts);
  const fallback = connectNodeAdapter({
    routes: (router) => router.service(FleetService, implementation),
    acceptCompression: [],
  });
  const streamListener = createServerStreamListener({
    method: FleetService.method.observeStore,
    handle: (message, signal) => relayStore(parts.observation, message, signal),
    fallback,
  });
  return createUnaryListener({ service: FleetService, implementation, fallback: streamListener });
};
