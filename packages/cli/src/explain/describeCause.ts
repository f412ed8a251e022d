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
  'timed-out': "the route's timeout or the caller's deadline had passed",
};

const RESUMPTION_CAUSES: Readonly<Record<string, string>> = {
  recorded: 'the version that began the stream was recorded',
  'only-version': 'only one version can have begun the stream',
  unobserved:
    'nobody reachable had recorded the version that began the stream, and this instance could not rule out others',
  'several-versions':
    'nobody reachable had recorded the version that began the stream, and several may have',
  'no-version': 'the target that began the stream announces no version',
  'other-service': 'the route no longer leads to the service that began the stream',
};

const SHUTTING_DOWN = 'shutting down';

const getFieldText = (line: LogLine, field: string): string => String(line[field] ?? '');

const describeForwarder = (line: LogLine): string =>
  line.forwarder === undefined ? '' : ` through instance ${getFieldText(line, 'forwarder')}`;

const describeRefusalCause = (line: LogLine): string => {
  const refusal = getFieldText(line, 'refusal');
  const reason = getFieldText(line, 'reason');
  if (reason !== SHUTTING_DOWN) return REFUSAL_CAUSES[refusal] ?? reason;
  return refusal === 'outcome-unknown'
    ? 'the instance shut down before the target had answered'
    : 'the instance shut down, and the request might not have ended in time';
};

/** Describes in one sentence how a log line affected a request; undefined if it did not. */
export const describeCause = (line: LogLine): string | undefined => {
  switch (line.message) {
    case 'quota.refused':
      return QUOTA_CAUSES[getFieldText(line, 'reason')];
    case 'budget.spent':
      return `${getFieldText(line, 'grantedTokens')} of ${getFieldText(line, 'limitTokens')} tokens were granted, and a turn may need ${getFieldText(line, 'turnTokens')}`;
    case 'budget.granted-on-trust':
      return 'the store was unreachable, and no instance had a record of the program';
    case 'limits.refused':
      return `targets of service ${getFieldText(line, 'service')} take ${getFieldText(line, 'perSecond')} requests a second from this instance and ${getFieldText(line, 'waiting')} were waiting; it could wait ${getFieldText(line, 'longestMilliseconds')} ms`;
    case 'limits.program-refused':
      return `it would have started a program, and the ${getFieldText(line, 'activePrograms')} under way need what the targets' limits allow (${getFieldText(line, 'perSecond')} requests a second)`;
    case 'call.attempt-ended':
      return `target ${getFieldText(line, 'target')}${describeForwarder(line)} ended the attempt: ${getFieldText(line, 'outcome')} ${getFieldText(line, 'detail')}`.trim();
    case 'call.resumption':
      return `resumes ${getFieldText(line, 'resumes')}: ${RESUMPTION_CAUSES[getFieldText(line, 'outcome')] ?? ''} ${getFieldText(line, 'version')}`.trim();
    case 'quarantine.crash-noted':
      return `target ${getFieldText(line, 'target')} crashed ${getFieldText(line, 'ranMilliseconds')} ms after it got the request, with ${getFieldText(line, 'underWay')} under way (${getFieldText(line, 'evidence')}): ${getFieldText(line, 'stage')}`;
    case 'quarantine.cleared':
      return 'a target served it, so it is no longer suspected';
    case 'call.redispatched':
      return `sent again to target ${getFieldText(line, 'target')} (${getFieldText(line, 'mayHaveRunAt')} may have run it, ${getFieldText(line, 'maximumTargets')} may)`;
    case 'call.given-up':
      return `given up: ${getFieldText(line, 'reason')}`;
    case 'call.refused':
      return describeRefusalCause(line);
    case 'call.cut-off':
      return `cut off by a shutdown ${getFieldText(line, 'sinceStopMilliseconds')} ms after its signal, at an age of ${getFieldText(line, 'ageMilliseconds')} ms`;
    case 'call.served':
      return `served by target ${getFieldText(line, 'target')}${describeForwarder(line)} in ${getFieldText(line, 'endedAtMilliseconds')} ms`;
    case 'forwarding.avoided':
      return `instance ${getFieldText(line, 'forwarder')} did not forward it: ${getFieldText(line, 'reason')}`;
    case 'forwarding.ended':
      return `forwarded to target ${getFieldText(line, 'target')} for another instance: ${getFieldText(line, 'outcome')} ${getFieldText(line, 'detail')}`.trim();
    default:
      return undefined;
  }
};
