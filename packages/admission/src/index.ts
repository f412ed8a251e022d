export type { AdmissionError } from './admissionError';
export type { KeyIdentity } from './keyIdentity';
export type { SliceDemand, SliceGrant } from './slice';
