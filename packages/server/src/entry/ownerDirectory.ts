import type {
  EndProgramRequest,
  EndProgramResponse,
  ReadProgramRequest,
  ReadProgramResponse,
  RunCallEvent,
  RunCallRequest,
} from '@limpetnotch/peer-protocol';

/** The owner of a partition, on this instance or another; its methods throw when it is lost. */
export interface OwnerRoute {
  /** Starts a call and returns its events. */
  run(request: RunCallRequest): AsyncIterable<RunCallEvent>;
  /** Cancels a call by its relay identifier; does not wait. */
  cancel(relayId: string): void;
  readProgram(request: ReadProgramRequest): Promise<ReadProgramResponse>;
  endProgram(request: EndProgramRequest): Promise<EndProgramResponse>;
}

/** Finds the owners of partitions. */
export interface OwnerDirectory {
  /** Returns the owner as far as it is known. */
  ownerOf(partition: number): OwnerRoute | undefined;
  /** Reads again who owns a partition. */
  refresh(partition: number): Promise<void>;
}
