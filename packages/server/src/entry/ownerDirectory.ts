import type {
  EndProgramRequest,
  EndProgramResponse,
  ReadProgramRequest,
  ReadProgramResponse,
  RunCallEvent,
  RunCallRequest,
} from '@limpetnotch/peer-protocol';

/** Client of a partition's owner, local or remote; its methods throw if the connection is lost. */
export interface OwnerClient {
  /** Starts a call and returns its events. */
  run(request: RunCallRequest): AsyncIterable<RunCallEvent>;
  /** Cancels a call by its relay identifier, without waiting for the cancellation. */
  cancel(relayId: string): void;
  readProgram(request: ReadProgramRequest): Promise<ReadProgramResponse>;
  endProgram(request: EndProgramRequest): Promise<EndProgramResponse>;
}

/** Finds the owners of partitions. */
export interface OwnerDirectory {
  /** Returns the last known owner, if there is one. */
  getOwner(partition: number): OwnerClient | undefined;
  /** Reads the owner of a partition again. */
  refresh(partition: number): Promise<void>;
}
