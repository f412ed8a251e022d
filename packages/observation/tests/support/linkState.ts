/** State of the way between two parties: `silent` loses or holds up what is sent. */
export type LinkState = 'up' | 'silent' | 'refused';
