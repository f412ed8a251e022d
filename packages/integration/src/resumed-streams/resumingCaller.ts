import type { CallerOutcome, CallerRecord } from '@limpetnotch/stand-ins';
import { CallerConnection, PLATFORM_PORTS, platformRequestHeaders } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';

const DEADLINE_MILLISECONDS = 6_000;
const RETRY_MILLISECONDS = 100;
const MAXIMUM_TRIES = 40;
const PROMPT_TOKENS = 500;
const ANSWER_TOKENS = 40;
const STATUS_OK = 200;

const EVENT_PATTERN = /^id: (\d+)\ndata: \S+ (\S+) event/gm;

/** Identifiers and versions of the events that a caller received. */
interface ReceivedEvent {
  readonly id: number;
  readonly version: string;
}

const parseEvents = ({ outcome }: CallerRecord): readonly ReceivedEvent[] => {
  const wholeEvents =
    'body' in outcome ? outcome.body.slice(0, outcome.body.lastIndexOf('\n\n')) : '';
  return [...wholeEvents.matchAll(EVENT_PATTERN)].map(([, id, version = '']) => ({
    id: Number(id),
    version,
  }));
};

/** How a stream that broke off went on for its caller. */
export type ResumptionEnd =
  /** It never broke off, or brought no event before. */
  'not-broken' | 'went-on' | 'refused' | 'broken-again';

/** A stream, over all attempts of its caller. */
export interface ResumedStream {
  readonly end: ResumptionEnd;
  /** Versions of its events, each once. */
  readonly versions: readonly string[];
  /** Identifiers of its events in the order in which the caller received them. */
  readonly eventIds: readonly number[];
}

/** Options of {@link receiveStream}. */
export interface ResumingCallerOptions {
  readonly id: string;
  readonly host: string;
  readonly key: string;
  readonly route: string;
  /** Number and interval of the events, such as `12x40`. */
  readonly work: string;
  /** Instance of the first attempt. */
  readonly firstHost: string;
  /** Instances of the resumption, in turn. */
  readonly laterHosts: readonly string[];
}

const send = async (
  options: ResumingCallerOptions,
  instanceHost: string,
  id: string,
  headers: Readonly<Record<string, string>>,
): Promise<CallerRecord | undefined> => {
  const connection = await CallerConnection.open(instanceHost, PLATFORM_PORTS.entry);
  if (!connection) return undefined;
  const record = await connection.send({
    id,
    method: 'POST',
    path: `/${options.route}/${options.work}`,
    headers: {
      ...platformRequestHeaders({
        id,
        host: options.host,
        key: options.key,
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
        prompt: { part: options.id, tokens: PROMPT_TOKENS, answerTokens: ANSWER_TOKENS },
      }),
      ...headers,
    },
    body: `body of ${options.id}`,
    leaveAfterMilliseconds: undefined,
    giveUpAfterMilliseconds: DEADLINE_MILLISECONDS,
  });
  connection.close();
  return record;
};

const isUnavailable = (outcome: CallerOutcome): boolean =>
  outcome.kind === 'answered' && outcome.status !== STATUS_OK;

/** Resumes a stream at the later instances until one of them goes on with it. */
const resume = async (
  options: ResumingCallerOptions,
  begun: readonly ReceivedEvent[],
): Promise<ResumedStream> => {
  const toStream = (end: ResumptionEnd, more: readonly ReceivedEvent[]): ResumedStream => {
    const events = [...begun, ...more];
    return {
      end,
      versions: [...new Set(events.map(({ version }) => version))],
      eventIds: events.map(({ id }) => id),
    };
  };
  for (let attempt = 1; attempt <= MAXIMUM_TRIES; attempt += 1) {
    const host = options.laterHosts[attempt % options.laterHosts.length] ?? '';
    const record = await send(options, host, `${options.id}-${attempt}`, {
      resumes: options.id,
      'last-event-id': String(begun.at(-1)?.id),
    });
    if (record && !isUnavailable(record.outcome) && parseEvents(record).length > 0) {
      const isWhole = record.outcome.kind === 'answered';
      return toStream(isWhole ? 'went-on' : 'broken-again', parseEvents(record));
    }
    await delay(RETRY_MILLISECONDS);
  }
  return toStream('refused', []);
};

/** Receives a stream, and resumes it at other instances if it breaks off after its first event. */
export const receiveStream = async (options: ResumingCallerOptions): Promise<ResumedStream> => {
  const record = await send(options, options.firstHost, options.id, {});
  const events = record ? parseEvents(record) : [];
  if (record?.outcome.kind === 'broken' && events.length > 0) return resume(options, events);
  return {
    end: 'not-broken',
    versions: [...new Set(events.map(({ version }) => version))],
    eventIds: events.map(({ id }) => id),
  };
};
