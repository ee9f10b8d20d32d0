/** Faults that can be injected into a stand-in backend server. */
export enum FaultKind {
  /** The process exits at once. */
  Die = 'die',
  /** Steps stop; connections and announcements go on. */
  Stall = 'stall',
  /** Nothing is sent on open connections any more; new ones work. */
  Silence = 'silence',
  /** Every answer is delayed. */
  Late = 'late',
  /** The work is done and the connection is cut without an answer. */
  LoseAnswer = 'lose_answer',
  /** Announcements stop. */
  Mute = 'mute',
  /** Cancels are ignored. */
  LoseCancel = 'lose_cancel',
}
