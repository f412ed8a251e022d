/** TCP ports on which an instance listens by the platform's convention. */
export const PLATFORM_PORTS = { entry: 8_368, readiness: 8_369, peer: 7_780 } as const;

/** Path at which an instance reports whether it accepts new connections. */
export const READINESS_PATH = '/limpetnotch/readiness';

/** Options of {@link platformSettings}. */
export interface PlatformSettingsOptions {
  readonly instance: string;
  readonly host: string;
  readonly availabilityZone: string;
  readonly graceSeconds: number;
  readonly quotaWindowSeconds: number;
  readonly isFirstStart: boolean;
  readonly storePort: number;
  /** Limits of the process; the file has none if undefined. */
  readonly limits?: { readonly memoryMb?: number; readonly fileDescriptors?: number };
}

const limitLines = (limits: PlatformSettingsOptions['limits']): readonly string[] =>
  limits === undefined
    ? []
    : ['[limits]', ...Object.entries(limits).map(([name, value]) => `${name} = ${value}`)];

/** Returns the text of an instance's settings file. */
export const platformSettings = (options: PlatformSettingsOptions): string =>
  [
    `nodeName = "${options.instance}"`,
    `ipAddress = "${options.host}"`,
    `zone = "${options.availabilityZone}"`,
    `bootstrap = ${options.isFirstStart}`,
    `internalPorts = [${PLATFORM_PORTS.peer}, ${PLATFORM_PORTS.peer + 15}]`,
    '[listen]',
    `frontend = "${options.host}:${PLATFORM_PORTS.entry}"`,
    `readiness = "${options.host}:${PLATFORM_PORTS.readiness}"`,
    '[bounds]',
    `graceS = ${options.graceSeconds}`,
    `quotaWindowS = ${options.quotaWindowSeconds}`,
    ...limitLines(options.limits),
    '[platform]',
    `address = "127.0.0.1:${options.storePort}"`,
    '',
  ].join('\n');
