import { computeKeyDigest } from '../src';

/** Secrets of the callers; the marker must never reach a target, a log, a trace or an error. */
export const MARKER = 'marker-7f3a9c';
export const FIRST_SECRET = `first-${MARKER}`;
export const SECOND_SECRET = `second-${MARKER}`;

const organisation = (name: string): string =>
  `{ kind: organisation, name: ${name}, spec: { rate: { requestsPerSecond: 500, burst: 500 } } }`;

const key = (name: string, owner: string, secret: string, state: string): string =>
  `{ kind: key, name: ${name}, spec: { organisation: ${owner}, digest: "${computeKeyDigest(secret)}", state: ${state} } }`;

/** Declarations of two organisations, a model, tools and an open route. */
export const localDeclarations = (firstKeyState: 'active' | 'withdrawn' = 'active'): string =>
  [
    organisation('first'),
    organisation('second'),
    key('first-key', 'first', FIRST_SECRET, firstKeyState),
    key('second-key', 'second', SECOND_SECRET, 'active'),
    '{ kind: budget, name: small, spec: { calls: 2 } }',
    `{ kind: route, name: chat, spec: { path: /v1/chat/completions, idempotent: true,
       service: { kind: model, models: [small] }, targets: [engine-1, engine-2] } }`,
    `{ kind: route, name: charge, spec: { path: /tools/charge, idempotent: false,
       service: { kind: service }, targets: [tools-1], progressDeadlineSeconds: 2 } }`,
    `{ kind: route, name: limited, spec: { path: /tools/limited, idempotent: true,
       service: { kind: service }, targets: [tools-1], budget: small } }`,
    `{ kind: route, name: open, spec: { path: /public/status, idempotent: true, methods: [GET],
       service: { kind: service }, targets: [tools-1],
       access: { kind: open, sourceLimit: { requestsPerSecond: 100, burst: 100 } } } }`,
  ].join('\n---\n');
