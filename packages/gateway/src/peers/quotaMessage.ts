import { AdmitProgramResponse_Outcome as Outcome } from '@limpetnotch/peer-protocol';
import type {
  AdmitProgramRequest,
  AdmitProgramRequestSchema,
  AdmitProgramResponse,
  AdmitProgramResponseSchema,
  MessageInitShape,
  TakeTokensResponse,
  TakeTokensResponseSchema,
} from '@limpetnotch/peer-protocol';
import { NO_TOKENS } from '../quotas/noTokens';
import type { ProgramAdmission, ProgramAdmissionRequest, TokensGiven } from '../quotas/quotaPeers';

const MILLISECONDS_PER_SECOND = 1_000;

/** Returns what two peers gave together. */
export const addTokens = (one: TokensGiven, other: TokensGiven): TokensGiven => ({
  given: one.given + other.given,
  ahead: one.ahead + other.ahead,
  nextMilliseconds:
    one.nextMilliseconds === undefined || other.nextMilliseconds === undefined
      ? (one.nextMilliseconds ?? other.nextMilliseconds)
      : Math.min(one.nextMilliseconds, other.nextMilliseconds),
});

/** Reads the tokens that a peer gave, of which at most the wanted ones count. */
export const toTokensGiven = (message: TakeTokensResponse, wanted: number): TokensGiven => ({
  given: Math.min(wanted, message.given),
  ahead: message.ahead,
  nextMilliseconds: message.nextMilliseconds,
});

export const toTokensMessage = ({
  given,
  ahead,
  nextMilliseconds,
}: TokensGiven): MessageInitShape<typeof TakeTokensResponseSchema> => ({
  given,
  ahead,
  ...(nextMilliseconds !== undefined && { nextMilliseconds: Math.ceil(nextMilliseconds) }),
});

export const toAdmissionRequestMessage = (
  request: ProgramAdmissionRequest,
): MessageInitShape<typeof AdmitProgramRequestSchema> => ({
  ...request,
  expectedMilliseconds: Math.max(0, Math.round(request.expectedMilliseconds)),
});

export const fromAdmissionRequestMessage = ({
  organisation,
  program,
  expectedMilliseconds,
  wanted,
  ahead,
}: AdmitProgramRequest): ProgramAdmissionRequest => ({
  organisation,
  program,
  expectedMilliseconds,
  wanted,
  ahead,
});

const toOutcome = ({ decision }: ProgramAdmission): Outcome => {
  if (decision.kind === 'admitted') return Outcome.ADMITTED;
  switch (decision.reason) {
    case 'programs-need-the-rate':
      return Outcome.RATE_IS_NEEDED;
    case 'window-is-spent':
      return Outcome.WINDOW_IS_SPENT;
  }
};

export const toAdmissionMessage = (
  admission: ProgramAdmission,
): MessageInitShape<typeof AdmitProgramResponseSchema> => ({
  outcome: toOutcome(admission),
  tokens: toTokensMessage(admission.tokens),
  retryAfterMilliseconds: Math.round(admission.retryAfterSeconds * MILLISECONDS_PER_SECOND),
  ...admission.demand,
});

const toDecision = (outcome: Outcome): ProgramAdmission['decision'] => {
  switch (outcome) {
    case Outcome.RATE_IS_NEEDED:
      return { kind: 'refused', reason: 'programs-need-the-rate' };
    case Outcome.WINDOW_IS_SPENT:
      return { kind: 'refused', reason: 'window-is-spent' };
    case Outcome.ADMITTED:
    case Outcome.UNSPECIFIED:
      return { kind: 'admitted' };
  }
};

export const fromAdmissionMessage = ({
  outcome,
  tokens,
  retryAfterMilliseconds,
  programs,
  unspentTokens,
}: AdmitProgramResponse): ProgramAdmission => ({
  decision: toDecision(outcome),
  tokens: tokens ? toTokensGiven(tokens, tokens.given) : NO_TOKENS,
  retryAfterSeconds: retryAfterMilliseconds / MILLISECONDS_PER_SECOND,
  demand: outcome === Outcome.ADMITTED ? undefined : { programs, unspentTokens },
});
