/** Faults that can be injected into a stand-in backend server. */
export enum FaultKind {
  /** The process exits at once. */
  Crash = 'die',
  /** Steps stop; connections and announcements go on. */
  Stall = 'stall',
  /** Nothing is sent on open connections any more; new ones work. */
  SilenceStreams = 'silence',
  /** Every answer is delayed. */
  DelayResponses = 'late',
  /** The work is done and the connection is cut without an answer. */
  DropResponse = 'lose_answer',
  /** Announcements stop. */
  StopAnnouncements = 'mute',
  /** Cancels are ignored. */
  DropCancel = 'lose_cancel',
}
