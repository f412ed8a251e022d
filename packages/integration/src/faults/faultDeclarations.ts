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

/** Returns the keys of the matrix: the one used for calls, and spare ones to withdraw. */
export const callerKeys = (count: number): readonly CallerKey[] =>
  Array.from({ length: count }, (_, index) => ({
    name: `key-${index}`,
    organisation: ORGANISATION,
    secret: `secret-of-matrix-key-${index}-7f3a`,
  }));

const digestOf = (secret: string): string =>
  `sha256:${createHash('sha256').update(secret).digest('hex')}`;

/** Declares keys, of which some are withdrawn. */
export const keyDeclarations = (
  keys: readonly CallerKey[],
  withdrawn: ReadonlySet<string>,
): readonly object[] =>
  keys.map(({ name, organisation, secret }) => ({
    kind: 'key',
    name,
    spec: {
      organisation,
      digest: digestOf(secret),
      state: withdrawn.has(name) ? 'withdrawn' : 'active',
    },
  }));

const routeDeclaration = (name: string, spec: object): object => ({
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
export const routeDeclarations = (engineNames: readonly string[]): readonly object[] => [
  routeDeclaration('chat', {
    path: MODEL_PATH,
    service: { kind: 'model', models: [MODEL] },
    targets: engineNames,
    idempotent: true,
  }),
  routeDeclaration('charge', {
    path: CHARGE_PATH,
    service: { kind: 'service' },
    targets: ['tool'],
    idempotent: false,
  }),
  routeDeclaration('quote', {
    path: QUOTE_PATH,
    service: { kind: 'service' },
    targets: ['tool'],
    idempotent: true,
  }),
];

/** Declares the engines and the tool. */
export const targetDeclarations = (addresses: TargetAddresses): readonly object[] => {
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
export const engineNames = ({ engines }: TargetAddresses): readonly string[] =>
  engines.map((_, index) => `engine-${index}`);

/** Builds the declarations of the matrix's fleet. */
export const faultDeclarations = (
  addresses: TargetAddresses,
  keys: readonly CallerKey[],
  withdrawn: ReadonlySet<string>,
): readonly Declaration[] => {
  const organisation = { kind: 'organisation', name: ORGANISATION, spec: { rate: RATE } };
  const declared = [
    organisation,
    ...keyDeclarations(keys, withdrawn),
    ...targetDeclarations(addresses),
    ...routeDeclarations(engineNames(addresses)),
  ];
  return declared.map((declaration) => declarationSchema.parse(declaration));
};
