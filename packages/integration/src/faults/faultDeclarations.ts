import { createHash } from 'node:crypto';
import type { Declaration } from '@limpetnotch/declarations';
import { declarationSchema } from '@limpetnotch/declarations';

/** Organisation that makes the calls of the fault matrix. */
export const ORGANISATION = 'matrix';
/** Model that the engines serve. */
export const MODEL = 'small';
/** Paths of the routes. */
export const MODEL_PATH = '/v1/chat/completions';
export const CHARGE_PATH = '/tools/charge';
export const QUOTE_PATH = '/tools/quote';

const DEADLINE_SECONDS = 20;
const PROGRESS_DEADLINE_SECONDS = 2;
const RATE = { requestsPerSecond: 1_000, burst: 1_000 };

/** A caller's key, with the secret that callers send. */
export interface CallerKey {
  readonly name: string;
  readonly organisation: string;
  readonly secret: string;
}

/** Where the targets listen. */
export interface TargetAddresses {
  readonly engines: readonly string[];
  readonly tool: string;
}

/** Creates the keys of the matrix; several, as cells withdraw the keys that they use. */
export const createCallerKeys = (count: number): readonly CallerKey[] =>
  Array.from({ length: count }, (_, index) => ({
    name: `key-${index}`,
    organisation: ORGANISATION,
    secret: `secret-of-matrix-key-${index}-7f3a`,
  }));

const computeDigest = (secret: string): string =>
  `sha256:${createHash('sha256').update(secret).digest('hex')}`;

/** Declares keys, some of them withdrawn. */
export const createKeyDeclarations = (
  keys: readonly CallerKey[],
  withdrawn: ReadonlySet<string>,
): readonly object[] =>
  keys.map(({ name, organisation, secret }) => ({
    kind: 'key',
    name,
    spec: {
      organisation,
      digest: computeDigest(secret),
      state: withdrawn.has(name) ? 'withdrawn' : 'active',
    },
  }));

const createRouteDeclaration = (name: string, spec: object): object => ({
  kind: 'route',
  name,
  spec: {
    deadlineSeconds: DEADLINE_SECONDS,
    progressDeadlineSeconds: PROGRESS_DEADLINE_SECONDS,
    retryRatio: 1,
    ...spec,
  },
});

/** Declares the routes to the engines and to the tool. */
export const createRouteDeclarations = (targets: readonly string[]): readonly object[] => [
  createRouteDeclaration('chat', {
    path: MODEL_PATH,
    service: { kind: 'model', models: [MODEL] },
    targets,
    idempotent: true,
  }),
  createRouteDeclaration('charge', {
    path: CHARGE_PATH,
    service: { kind: 'service' },
    targets: ['tool'],
    idempotent: false,
  }),
  createRouteDeclaration('quote', {
    path: QUOTE_PATH,
    service: { kind: 'service' },
    targets: ['tool'],
    idempotent: true,
  }),
];

/** Declares the engines and the tool. */
export const createTargetDeclarations = (addresses: TargetAddresses): readonly object[] => {
  const engines = addresses.engines.map((address, index) => ({
    kind: 'target',
    name: `engine-${index}`,
    spec: {
      address,
      availabilityZone: 'zone-a',
      backend: { kind: 'engine', models: [MODEL], fencing: 'obeyed', resumable: true },
    },
  }));
  const tool = {
    kind: 'target',
    name: 'tool',
    spec: { address: addresses.tool, availabilityZone: 'zone-a', backend: { kind: 'service' } },
  };
  return [...engines, tool];
};

/** Returns the names of the engines. */
export const getEngineNames = ({ engines }: TargetAddresses): readonly string[] =>
  engines.map((_, index) => `engine-${index}`);

/** Builds the declarations of the matrix's fleet. */
export const createFaultDeclarations = (
  addresses: TargetAddresses,
  keys: readonly CallerKey[],
  withdrawn: ReadonlySet<string>,
): readonly Declaration[] => {
  const organisation = { kind: 'organisation', name: ORGANISATION, spec: { rate: RATE } };
  const declared = [
    organisation,
    ...createKeyDeclarations(keys, withdrawn),
    ...createTargetDeclarations(addresses),
    ...createRouteDeclarations(getEngineNames(addresses)),
  ];
  return declared.map((declaration) => declarationSchema.parse(declaration));
};
