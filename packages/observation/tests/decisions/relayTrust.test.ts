import { computeEvidenceTime } from '../../src/decisions/computeEvidenceTime';
import { computeObservationLimits } from '../../src/decisions/computeObservationLimits';
import { decideMode } from '../../src/decisions/decideMode';
import { RelayTrust } from '../../src/decisions/relayTrust';
import type { PrefixEvidence } from '../../src/decisions/relayTrust';

const evidenceAt = (relayedAtMilliseconds: number, trustMilliseconds = 1_600): PrefixEvidence => ({
  anyAtMilliseconds: relayedAtMilliseconds,
  relayedAtMilliseconds,
  trustMilliseconds,
});

test('trust ends with the oldest evidence of all prefixes', () => {
  const trust = new RelayTrust();
  const evidence = [evidenceAt(900, 16_500), evidenceAt(1_000), evidenceAt(1_200)];
  expect(trust.decide(1_300, evidence)).toEqual({
    isTrusted: true,
    nextCheckAtMilliseconds: 2_600,
  });
  expect(trust.decide(2_600, evidence).isTrusted).toBe(false);
});

// An instance that stops reading at the first message alternates while a reader is slow.
test('trust returns after relayed state was recent without interruption', () => {
  const trust = new RelayTrust();
  trust.decide(5_000, [evidenceAt(0)]);
  expect(trust.decide(5_100, [evidenceAt(5_000)])).toEqual({
    isTrusted: false,
    nextCheckAtMilliseconds: 8_100,
  });
  expect(trust.decide(7_000, [evidenceAt(5_100)]).isTrusted).toBe(false);
  expect(trust.decide(7_100, [evidenceAt(7_000)]).isTrusted).toBe(false);
  expect(trust.decide(10_000, [evidenceAt(9_000)]).isTrusted).toBe(false);
  expect(trust.decide(10_100, [evidenceAt(9_500)]).isTrusted).toBe(true);
});

test('own reading keeps trust, and does not bring it back', () => {
  const own: PrefixEvidence = { ...evidenceAt(-Infinity), anyAtMilliseconds: 5_000 };
  const trust = new RelayTrust();
  expect(trust.decide(5_100, [own]).isTrusted).toBe(true);
  expect(trust.decide(6_600, [own]).isTrusted).toBe(false);
  expect(trust.decide(6_700, [{ ...own, anyAtMilliseconds: 6_700 }])).toEqual({
    isTrusted: false,
    nextCheckAtMilliseconds: undefined,
  });
});

// Buffered messages that a frozen follower, or one of a frozen reader, handles later look recent.
test('a message that was held up is as old as it is', () => {
  const evidence = computeEvidenceTime(
    10_000,
    { elapsedMilliseconds: 2_000 },
    { ageMilliseconds: 300 },
  );
  expect(evidence).toBe(11_700);
});

test('a watch of a reader ends before its followers lose their trust, within the bound', () => {
  [2_000, 3_000].forEach((bound) => {
    const { silenceMilliseconds, trustMilliseconds } = computeObservationLimits(bound, 3_000);
    expect(silenceMilliseconds).toBeLessThan(trustMilliseconds);
    expect(trustMilliseconds).toBeLessThan(bound);
  });
  expect(computeObservationLimits(undefined, 15_000)).toEqual({
    silenceMilliseconds: 15_000,
    trustMilliseconds: 16_500,
  });
});

test.each([
  [8, false, true, 'direct'],
  [9, false, true, 'follower'],
  [9, true, true, 'reader'],
  [9, false, false, 'reader'],
] as const)(
  '%i instances, chosen %s, trusted %s: %s',
  (fleetSize, isChosen, isRelayTrusted, mode) => {
    expect(decideMode({ fleetSize, isChosen, isRelayTrusted })).toBe(mode);
  },
);
