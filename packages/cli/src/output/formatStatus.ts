import type { ConfigurationRoot } from '@limpetnotch/declarations';
import type { EntryStatus } from '../entry/readEntryStatus';
import type { RegisteredInstance } from '../store/readInstances';
import { formatTable } from './formatTable';

const UNKNOWN = '-';

const formatRoot = (root: ConfigurationRoot | undefined): string =>
  root
    ? `configuration: revision ${root.revision} by ${root.author}, published ${root.publishedAt}`
    : 'configuration: nothing is published yet';

const formatInstances = (instances: readonly RegisteredInstance[]): string[] =>
  formatTable(
    ['INSTANCE', 'ZONE', 'PEER ADDRESS', 'STATE'],
    instances.map(({ instance, availabilityZone, peerAddress, leaving }) => [
      instance,
      availabilityZone,
      peerAddress,
      leaving ? 'leaving' : 'serving',
    ]),
  );

const formatPartitionCount = (partitions: number | readonly unknown[] | undefined): string => {
  if (partitions === undefined) return UNKNOWN;
  return String(typeof partitions === 'number' ? partitions : partitions.length);
};

const formatEntryRow = (entry: EntryStatus): string[] => {
  if (entry.kind === 'failed') return [entry.address, UNKNOWN, UNKNOWN, UNKNOWN, entry.reason];
  const { instance, ready, revision, partitions } = entry.status;
  return [
    entry.address,
    instance ?? UNKNOWN,
    String(revision ?? UNKNOWN),
    formatPartitionCount(partitions),
    ready === false ? 'not ready' : 'ready',
  ];
};

const formatEntries = (entries: readonly EntryStatus[]): string[] =>
  formatTable(
    ['ENTRY', 'INSTANCE', 'REVISION', 'PARTITIONS', 'STATE'],
    entries.map(formatEntryRow),
  );

/** Formats the state of the fleet: the configuration, the instances and the entries. */
export const formatStatus = (
  root: ConfigurationRoot | undefined,
  instances: readonly RegisteredInstance[],
  entries: readonly EntryStatus[],
): string[] => [
  formatRoot(root),
  '',
  ...formatInstances(instances),
  ...(entries.length === 0 ? [] : ['', ...formatEntries(entries)]),
];
