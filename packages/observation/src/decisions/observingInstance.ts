/** An instance that is present, as its presence key describes it. */
export interface ObservingInstance {
  readonly name: string;
  readonly availabilityZone: string | undefined;
  /** Whether its build can relay changes of the store. */
  readonly canRelay: boolean;
}
