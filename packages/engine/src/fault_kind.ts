/** Faults that can be injected into a mock backend server. */
export enum FaultKind {
  /** The process exits at once. */
  Crash = 'die',
  /** No work is processed; connections and announcements continue. */
  Stall = 'stall',
  /**
   * Streams with a frame to send during the fault send nothing more, even after
   * it; streams that open later work.
   */
  SilenceStreams = 'silence',
  /** Responses are delayed until the fault ends. */
  DelayResponses = 'late',
  /** The request is executed and the connection closed without a response. */
  DropResponse = 'lose_answer',
  /** Announcements stop. */
  StopAnnouncements = 'mute',
  /** Cancels are ignored, and their connections closed without a response. */
  DropCancel = 'lose_cancel',
}
