import fc from 'fast-check';
import { EscrowAccount } from '../../src/escrow/escrowAccount';

const TURN_TOKENS = 288;

test('accounts never spend more than the budget', () => {
  const step = fc.record({
    instance: fc.integer({ min: 0, max: 2 }),
    used: fc.integer({ min: 0, max: TURN_TOKENS }),
    isKilled: fc.boolean(),
    givesBack: fc.boolean(),
  });
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 6_000 }),
      fc.array(step, { maxLength: 80 }),
      (limitTokens, steps) => {
        const accounts = [new EscrowAccount(), new EscrowAccount(), new EscrowAccount()];
        let grantedTokens = 0;
        let spent = 0;
        steps.forEach(({ instance, used, isKilled, givesBack }) => {
          if (isKilled) accounts[instance] = new EscrowAccount();
          const account = accounts[instance]!;
          if (givesBack) grantedTokens -= account.withdraw();
          const plan = account.planGrant(TURN_TOKENS, { limitTokens, grantedTokens });
          if (plan.kind === 'take') {
            grantedTokens += plan.tokens;
            account.deposit(plan.tokens);
          }
          if (!account.reserve(TURN_TOKENS)) return;
          account.settle(TURN_TOKENS, used);
          spent += used;
        });
        expect(grantedTokens).toBeLessThanOrEqual(limitTokens);
        expect(spent).toBeLessThanOrEqual(limitTokens);
      },
    ),
  );
});

test('an instance leaves most of a budget to other instances', () => {
  const account = new EscrowAccount();
  const plan = account.planGrant(TURN_TOKENS, { limitTokens: 8_000, grantedTokens: 0 });
  expect(plan).toEqual({ kind: 'take', tokens: 2_000 });
});

test('grants the last turn that fits into the budget', () => {
  const account = new EscrowAccount();
  const plan = account.planGrant(TURN_TOKENS, { limitTokens: TURN_TOKENS, grantedTokens: 0 });
  expect(plan).toEqual({ kind: 'take', tokens: TURN_TOKENS });
});

test('refuses a turn that does not fit into the budget', () => {
  const account = new EscrowAccount();
  const plan = account.planGrant(TURN_TOKENS, { limitTokens: 864, grantedTokens: 600 });
  expect(plan).toEqual({ kind: 'exhausted' });
});
