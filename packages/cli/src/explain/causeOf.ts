import type { LogLine } from './logLine';

const QUOTA_CAUSES: Readonly<Record<string, string>> = {
  'no-token':
    "the organisation's rate had no token left here, at peers, or within the longest wait",
  'programs-need-the-rate': "programs under way need all of the organisation's rate",
  'window-is-spent': "nearly all of the organisation's rate in the window was spent",
};

const REFUSAL_CAUSES: Readonly<Record<string, string>> = {
  malformed: 'the request could not be read',
  'unknown-key': 'the configuration in force here had no such key',
  'unknown-route': 'the configuration in force here had no such route',
  'body-too-large': 'the body was larger than the configuration allows',
  'over-rate': "the organisation's rate was used up; see the line quota.refused",
  'budget-spent': "the program's token budget was spent; see the line budget.spent",
  'outcome-unknown': 'the request may have run, and was not sent again',
  quarantined:
    'targets crashed that ran a request of the same content; see the lines quarantine.* with its digest',
  'timed-out': "the route's time or the caller's deadline was over",
};

const SHUTTING_DOWN = 'shutting down';

const textOf = (line: LogLine, field: string): string => String(line[field] ?? '');

const causeOfRefusal = (line: LogLine): string => {
  const refusal = textOf(line, 'refusal');
  const reason = textOf(line, 'reason');
  if (reason !== SHUTTING_DOWN) return REFUSAL_CAUSES[refusal] ?? reason;
  return refusal === 'outcome-unknown'
    ? 'the instance shut down before the target had answered'
    : 'the instance shut down, and the request might not have ended in time';
};

/** Says in one sentence what a line did to a request; undefined where it decided nothing. */
export const causeOf = (line: LogLine): string | undefined => {
  switch (line.message) {
    case 'quota.refused':
      return QUOTA_CAUSES[textOf(line, 'reason')];
    case 'budget.spent':
      return `${textOf(line, 'grantedTokens')} of ${textOf(line, 'limitTokens')} tokens were granted, and a turn may need ${textOf(line, 'turnTokens')}`;
    case 'budget.granted-on-trust':
      return 'the store was out of reach, and no instance knew the program';
    case 'call.attempt-ended':
      return `target ${textOf(line, 'target')} ended the attempt: ${textOf(line, 'outcome')} ${textOf(line, 'detail')}`.trim();
    case 'quarantine.crash-noted':
      return `target ${textOf(line, 'target')} crashed ${textOf(line, 'ranMilliseconds')} ms after it got the request, with ${textOf(line, 'underWay')} under way (${textOf(line, 'evidence')}): ${textOf(line, 'stage')}`;
    case 'quarantine.cleared':
      return 'a target served it, so that it is under suspicion no more';
    case 'call.redispatched':
      return `sent again to target ${textOf(line, 'target')} (${textOf(line, 'mayHaveRunAt')} may have run it, ${textOf(line, 'maximumTargets')} may)`;
    case 'call.given-up':
      return `given up: ${textOf(line, 'reason')}`;
    case 'call.refused':
      return causeOfRefusal(line);
    case 'call.cut-off':
      return `cut off by a shutdown ${textOf(line, 'sinceStopMilliseconds')} ms after its signal, at an age of ${textOf(line, 'ageMilliseconds')} ms`;
    case 'call.served':
      return `served by target ${textOf(line, 'target')} in ${textOf(line, 'endedAtMilliseconds')} ms`;
    default:
      return undefined;
  }
};
