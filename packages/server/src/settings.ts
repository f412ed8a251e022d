import { z } from 'zod';

const portSchema = z.coerce.number().int().min(1).max(65_535);
const nameSchema = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'letters, digits, dots, underscores and hyphens');

/** Settings of an instance; each can be given as a flag or as an environment variable. */
export const settingsSchema = z.strictObject({
  /** Name of the instance, the same after each restart. */
  instance: nameSchema,
  availabilityZone: nameSchema,
  /** Address on which the instance serves callers, operators and probes. */
  entryHost: z.string().min(1).default('127.0.0.1'),
  entryPort: portSchema,
  /** Address on which the instance serves other instances, also published to them. */
  peerHost: z.string().min(1).default('127.0.0.1'),
  peerPort: portSchema,
  /** Comma-separated addresses of the platform's key-value service. */
  store: z
    .string()
    .min(1)
    .transform((text) => text.split(',').map((address) => address.trim()))
    .pipe(z.array(z.url({ protocol: /^https?$/ })).min(1)),
  /** Time to live of the instance's lease, in seconds. */
  leaseSeconds: z.coerce.number().min(1).max(60).default(3),
  /** Journal writes per second of the whole fleet. */
  fleetWritesPerSecond: z.coerce.number().min(1).max(10_000).default(200),
  /** Maximum size of a request body, in bytes. */
  maximumBodyBytes: z.coerce.number().int().min(1_024).max(33_554_432).default(4_194_304),
  /**
   * Seconds for which the instance continues to serve between failing readiness and its handover.
   */
  drainSeconds: z.coerce.number().min(0).max(600).default(2),
  /** Secret of the operators; without it, operator requests are refused. */
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
export const toFlag = (name: string): string =>
  `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;

/** Returns a setting's environment variable, such as `LIMPETNOTCH_ENTRY_PORT`. */
export const toEnvironmentVariable = (name: string): string =>
  `LIMPETNOTCH_${name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;
