/** Why a target may not get a request, whatever its load. */
export type Ineligibility =
  /** Operators have evacuated its availability zone. */
  | { readonly kind: 'evacuated'; readonly availabilityZone: string }
  /** The route or the organisation restricts requests to other regions. */
  | { readonly kind: 'region-not-allowed'; readonly region: string | undefined };
