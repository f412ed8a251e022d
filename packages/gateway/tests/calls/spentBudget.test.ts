import { request } from 'undici';
import type { BudgetDecision, BudgetGate } from '../../src/budgets/budgetGate';
import { DrainingInstance } from '../support/drainingInstance';

const RATE = { perSecond: 1, burst: 1 };

let instance: DrainingInstance;

afterEach(() => instance.close());

interface Counts {
  admitted: number;
  taken: number;
}

const send = async (budgets: BudgetGate): Promise<{ status: number; counts: Counts }> => {
  const counts: Counts = { admitted: 0, taken: 0 };
  instance = await DrainingInstance.start({
    target: (_request, response) => {
      response.writeHead(200, { 'x-signed': '1' }).end('ok');
    },
    organisations: [{ name: 'o', keys: ['k'], priority: 0, rate: RATE }],
    route: { isOpenToAll: false },
    quotas: {
      admit: async () => {
        counts.admitted += 1;
        return { kind: 'admitted' };
      },
      take: async () => {
        counts.taken += 1;
        return { kind: 'taken', returnToken: () => undefined };
      },
    },
    budgets,
  });
  const headers = { 'x-id': 'r', 'x-key': 'k', 'x-program': 'p' };
  const { statusCode, body } = await request(`http://127.0.0.1:${instance.port}/`, { headers });
  await body.dump();
  return { status: statusCode, counts };
};

const budgetGate = (decision: BudgetDecision, isKnownSpent: boolean): BudgetGate => ({
  reserve: async () => decision,
  isKnownSpent: () => isKnownSpent,
  hasProgramStarted: async () => false,
});

// Programs that ran away used up the rate of their organisation, and others were refused.
test('a turn that exceeds its budget takes no token of the rate', async () => {
  const { status, counts } = await send(budgetGate({ kind: 'spent' }, false));
  expect(status).toBe(402);
  expect(counts.taken).toBe(0);
});

test('a turn of a budget that is known to be spent asks nobody', async () => {
  const { status, counts } = await send(budgetGate({ kind: 'spent' }, true));
  expect(status).toBe(402);
  expect(counts).toEqual({ admitted: 0, taken: 0 });
});

test('a turn within its budget takes a token and runs', async () => {
  const reserved = { kind: 'reserved', settle: (): void => undefined } as const;
  const { status, counts } = await send(budgetGate(reserved, false));
  expect(status).toBe(200);
  expect(counts).toEqual({ admitted: 1, taken: 1 });
});
