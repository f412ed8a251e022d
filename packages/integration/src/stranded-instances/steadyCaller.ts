import type { CallerRecord } from '@limpetnotch/stand-ins';
import { CallerConnection, PLATFORM_PORTS, platformRequestHeaders } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { SoakRoute } from '../signal-soak/soakRoutes';

const PAUSE_MILLISECONDS = 80;
/** Callers of agents wait about as long as this for a tool. */
const DEADLINE_MILLISECONDS = 1_200;
const PROMPT_TOKENS = 500;
const ANSWER_TOKENS = 40;
const PLAIN_WORK = '1x20';
const STREAM_WORK = '6x20';

/** Options of {@link runSteadyCaller}. */
export interface SteadyCallerOptions {
  readonly name: string;
  /** Address of the instance. */
  readonly instanceHost: string;
  readonly host: string;
  readonly key: string;
  readonly route: SoakRoute;
  readonly signal: AbortSignal;
}

/** Sends new requests to one instance, over a connection that stays open as long as possible. */
export const runSteadyCaller = async (
  options: SteadyCallerOptions,
): Promise<readonly CallerRecord[]> => {
  const { name, instanceHost, host, key, route, signal } = options;
  const isStream = route.kind === 'stream';
  const records: CallerRecord[] = [];
  let connection: CallerConnection | undefined;
  while (!signal.aborted) {
    if (!connection?.isOpen) {
      connection = await CallerConnection.open(instanceHost, PLATFORM_PORTS.entry);
    }
    const id = `${name}-${records.length}`;
    const record = await connection?.send({
      id,
      method: route.kind === 'safe' ? 'GET' : 'POST',
      path: `/${route.name}/${isStream ? STREAM_WORK : PLAIN_WORK}`,
      headers: platformRequestHeaders({
        id,
        host,
        key,
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
        ...(isStream && {
          prompt: { part: name, tokens: PROMPT_TOKENS, answerTokens: ANSWER_TOKENS },
        }),
        ...(route.isTurn && { program: name }),
      }),
      body: route.kind === 'safe' ? '' : `body of ${id}`,
      leaveAfterMilliseconds: undefined,
      giveUpAfterMilliseconds: DEADLINE_MILLISECONDS,
    });
    if (record) records.push(record);
    await delay(PAUSE_MILLISECONDS, signal);
  }
  connection?.close();
  return records;
};
