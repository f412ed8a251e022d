// Plain modules without a build: their imports need extensions, and steps run one after another.
/* eslint-disable no-use-before-define */
/** Stand-in of consumers: one request at a time on a kept connection, or on a new one. */
import { Agent, request as send } from 'node:http';
import { randomBytes } from 'node:crypto';

export const createId = () => randomBytes(8).toString('hex');

export const createAgent = () => new Agent({ keepAlive: true, maxSockets: 1 });

/** Sends one request; resolves to what its consumer sees. */
export const call = ({
  host,
  port,
  path,
  method = 'POST',
  headers = {},
  body = '',
  agent = false,
  deadline,
  onData,
}) =>
  new Promise((resolve) => {
    const id = headers['request-id'] ?? createId();
    const sentAt = performance.now();
    let settled = false;
    let text = '';
    let status;
    const finish = (outcome) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve({ id, status, text, sentAt, endedAt: performance.now(), ...outcome });
    };
    const request = send(
      {
        host,
        port,
        path,
        method,
        agent,
        headers: {
          host: 'quotes.example',
          'request-id': id,
          'deadline-milliseconds': String(deadline),
          'content-length': Buffer.byteLength(body),
          ...headers,
        },
      },
      (response) => {
        status = response.statusCode;
        response.setEncoding('utf8');
        response.on('data', (chunk) => {
          text += chunk;
          onData?.(chunk);
        });
        response.on('error', () => finish({ kind: 'cut' }));
        response.on('end', () =>
          finish({ kind: response.complete ? 'answered' : 'cut', headers: response.headers }),
        );
        response.on('close', () => finish({ kind: 'cut' }));
      },
    );
    request.on('error', (error) => finish({ kind: 'cut', detail: error.code }));
    const timer = setTimeout(() => {
      finish({ kind: 'deadline' });
      request.destroy();
    }, deadline);
    request.end(body);
  });

/** Returns a line for each request: when it was sent, where it ran, and what its consumer got. */
export const describeRequests = (answers, runs) => {
  const runsById = new Map();
  runs.forEach((run) => runsById.set(run.requestId, [...(runsById.get(run.requestId) ?? []), run]));
  const toSeconds = (milliseconds) => (milliseconds / 1_000).toFixed(3);
  return answers.map(({ id, sentAt, endedAt, status, kind }) => {
    const ran = (runsById.get(id) ?? []).map(
      ({ runner, at }) => `ran at ${runner} (${toSeconds(at)})`,
    );
    return `${toSeconds(sentAt)} sent ${id}; ${ran.join(', ') || 'did not run'}; ${toSeconds(endedAt)} ${kind} ${status ?? ''}`;
  });
};
