import { z } from 'zod';

const portSchema = z.coerce.number().int().min(1).max(65_535);
const nameSchema = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'letters, digits, dots, underscores and hyphens');

/** Settings of an instance; each is a flag and an environment variable. */
export const settingsSchema = z.strictObject({
  /** Name of the instance, the same after each restart. */
  instance: nameSchema,
  availabilityZone: nameSchema,
  /** Address on which callers, operators and probes are served. */
  entryHost: z.string().min(1).default('127.0.0.1'),
  entryPort: portSchema,
  /** Address on which other instances are served, and which they are told. */
  peerHost: z.string().min(1).default('127.0.0.1'),
  peerPort: portSchema,
  /** Addresses of the platform's key-value service, parted by commas. */
  store: z
    .string()
    .min(1)
    .transform((text) => text.split(',').map((address) => address.trim()))
    .pipe(z.array(z.url({ protocol: /^https?$/ })).min(1)),
  /** Time to live of the instance's lease. */
  leaseSeconds: z.coerce.number().min(1).max(60).default(3),
  /** Journal writes a second of the whole fleet together. */
  fleetWritesPerSecond: z.coerce.number().min(1).max(10_000).default(200),
  /** Largest body of a request. */
  maximumBodyBytes: z.coerce.number().int().min(1_024).max(33_554_432).default(4_194_304),
  /** Time for which the instance goes on after it failed readiness, before it hands over. */
  drainSeconds: z.coerce.number().min(0).max(600).default(2),
  /** Secret of the operators' calls; they are refused where there is none. */
  operatorToken: z.string().min(16).optional(),
  /** Host and port of a StatsD collector. */
  statsd: z
    .string()
    .regex(/^[^:]+:\d{1,5}$/, 'host:port')
    .optional(),
  /** Address of an OTLP collector. */
  traces: z.url({ protocol: /^https?$/ }).optional(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

export type Settings = z.infer<typeof settingsSchema>;

/** Names of the settings. */
export type SettingName = keyof Settings;

/** Returns a setting's flag, such as `--entry-port`. */
export const flagOf = (name: string): string =>
  `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;

/** Returns a setting's environment variable, such as `LIMPETNOTCH_ENTRY_PORT`. */
export const variableOf = (name: string): string =>
  `LIMPETNOTCH_${name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;
